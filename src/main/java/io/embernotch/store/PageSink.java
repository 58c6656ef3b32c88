package io.embernotch.store;

import java.util.List;

/** Takes the pages of a listing as they arrive. */
@FunctionalInterface
public interface PageSink {
  /** Entries that the store holds. */
  void page(List<VersionedEntry> entries);

  /**
   * Entries that were asked for before the contents were found to be lost, and arrive after that.
   * The store held them before the loss, or holds them still; perhaps nobody else knows of them.
   * The listing fails after this.
   */
  default void pageAskedForBeforeLoss(List<VersionedEntry> entries) {}
}
