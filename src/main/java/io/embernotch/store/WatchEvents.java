package io.embernotch.store;

import java.util.List;

/** What a watch saw; an entry with a null value was dropped. */
public record WatchEvents(long revision, List<VersionedEntry> events) {}
