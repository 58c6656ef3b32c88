package io.embernotch.incarnation;

/** Accepts evidence of data loss that other parts of the controller find. */
public final class DataLossIndicators {
  /** Receives each detected data loss. */
  @FunctionalInterface
  interface Listener {
    /**
     * Data is lost.
     *
     * @param why the evidence, for the log
     * @param observedContentsLost whether contents that this controller itself has read or written
     *     are lost; if not, the loss may have happened before it first read the store
     */
    void dataLost(String why, boolean observedContentsLost);
  }

  private final IncarnationState state;
  private final Listener listener;

  DataLossIndicators(IncarnationState state, Listener listener) {
    this.state = state;
    this.listener = listener;
  }

  /** Reports that the store does not hold a job that is known to have been accepted. */
  public void acceptedJobMissing(String ref) {
    if (state.isIntact()) {
      listener.dataLost("job " + ref + " was accepted but is missing", true);
    }
  }

  /**
   * Reports that the current incarnation began without jobs or ends of jobs that this controller
   * knows. That counts as another data loss, so that the next incarnation begins with all of them.
   */
  public void incarnationLacksKnownJobs() {
    listener.dataLost("it lacks jobs or ends of jobs that this controller knows", true);
  }

  /**
   * Reports that the store was rolled back before this controller first read it.
   *
   * @param why the evidence, for the log
   */
  public void storeRolledBack(String why) {
    if (state.isIntact()) {
      listener.dataLost(why, false);
    }
  }
}
