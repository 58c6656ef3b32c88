package io.embernotch.store;

import java.util.List;

/**
 * What a watch or a listing saw.
 *
 * @param revision the revision up to which everything was seen
 * @param events the entries that changed or were listed; one without a value was deleted
 */
public record WatchEvents(long revision, List<VersionedEntry> events) {}
