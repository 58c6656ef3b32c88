package io.embernotch.store;

import java.util.List;

/** Receives the pages of a listing as they arrive. */
@FunctionalInterface
public interface PageSink {
  /** Receives one page of entries that the store holds. */
  void page(List<VersionedEntry> entries);

  /**
   * Receives a page that was requested before a loss of data was detected and arrives after that.
   * The store held these entries before the loss and may still hold them; possibly no controller
   * has another copy. The listing fails after this call.
   */
  default void pageRequestedBeforeLoss(List<VersionedEntry> entries) {}
}
