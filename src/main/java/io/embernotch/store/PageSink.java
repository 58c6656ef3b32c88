package io.embernotch.store;

import java.util.List;

/** Takes the pages of a listing as they arrive. */
@FunctionalInterface
public interface PageSink {
  /** Entries that the store holds. */
  void page(List<VersionedEntry> entries);

  /**
   * Entries that arrive after the contents which were listed were found to be lost. The store held
   * them, and perhaps nobody else knows of them. The listing fails after this.
   */
  default void pageOfLostContents(List<VersionedEntry> entries) {}
}
