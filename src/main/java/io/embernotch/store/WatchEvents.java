package io.embernotch.store;

import java.util.List;

/**
 * The result of a watch or a listing.
 *
 * @param revision the revision up to which the result contains all changes
 * @param events the changed or listed entries; an entry without a value was deleted
 */
public record WatchEvents(long revision, List<VersionedEntry> events) {}
