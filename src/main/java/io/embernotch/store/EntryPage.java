package io.embernotch.store;

import java.util.List;

/**
 * One page of a listing.
 *
 * @param entries the entries of the page, sorted by key
 * @param last whether no further page follows
 * @param revision the store's revision when it answered
 */
public record EntryPage(List<VersionedEntry> entries, boolean last, long revision) {
  /** Returns the key to continue after; only if this is not the last page. */
  public String lastKey() {
    return entries.get(entries.size() - 1).key();
  }
}
