package io.embernotch.leader;

/**
 * How far a leader's term has got: it loads the store, then serves, and is stopped at any time. A
 * leader that was stopped after it had loaded still knows the cluster state.
 */
final class LeaderLifecycle {
  private boolean loaded;
  private double loadedAt;
  private boolean stopped;
  private boolean contentsPutBack;

  /** The store has been read, at this time of the steady clock. */
  void markLoaded(double now) {
    loaded = true;
    loadedAt = now;
  }

  /** The term is over. */
  void markStopped() {
    stopped = true;
  }

  /** The store had been put back to an earlier moment before the term began. */
  void markContentsPutBack() {
    contentsPutBack = true;
  }

  /** True if the term was found to have been led on contents that were put back before it. */
  boolean isContentsPutBack() {
    return contentsPutBack;
  }

  /** True once the cluster state is known. */
  boolean isLoaded() {
    return loaded;
  }

  /** Seconds since the store was read; only once it is. */
  double loadedForS(double now) {
    return now - loadedAt;
  }

  /** True once the term is over. */
  boolean isStopped() {
    return stopped;
  }
}
