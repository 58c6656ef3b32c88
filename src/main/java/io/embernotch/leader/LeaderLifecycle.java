package io.embernotch.leader;

/**
 * The lifecycle of a leader: it loads the store, then serves, and may be stopped at any time. A
 * leader that is stopped after it has loaded the store keeps its cluster state.
 */
final class LeaderLifecycle {
  private boolean loaded;
  private double loadedAt;
  private boolean stopped;
  private boolean storeRolledBack;

  /**
   * Records that the store is loaded.
   *
   * @param now seconds of the monotonic clock
   */
  void markLoaded(double now) {
    loaded = true;
    loadedAt = now;
  }

  /** Records that the term has ended. */
  void markStopped() {
    stopped = true;
  }

  /** Records that the store was rolled back to an earlier revision before the term began. */
  void markStoreRolledBack() {
    storeRolledBack = true;
  }

  /** True if the store was found to have been rolled back before the term began. */
  boolean isStoreRolledBack() {
    return storeRolledBack;
  }

  /** True once the cluster state is loaded. */
  boolean isLoaded() {
    return loaded;
  }

  /**
   * Seconds since the store was loaded; meaningless before.
   *
   * @param now seconds of the monotonic clock
   */
  double loadedForS(double now) {
    return now - loadedAt;
  }

  /** True once the term has ended. */
  boolean isStopped() {
    return stopped;
  }
}
