package io.embernotch.incarnation;

/** Signs of a loss of data that other parts of the controller come upon. */
public final class LossSigns {
  /** Receives a loss that a sign shows. */
  @FunctionalInterface
  interface Listener {
    /**
     * Data is lost.
     *
     * @param why what shows it, for the log
     * @param seen whether contents that this controller has seen itself are gone; else the loss may
     *     have come before all that it has seen
     */
    void dataLost(String why, boolean seen);
  }

  private final IncarnationKnowledge knowledge;
  private final Listener listener;

  LossSigns(IncarnationKnowledge knowledge, Listener listener) {
    this.knowledge = knowledge;
    this.listener = listener;
  }

  /** A job that is known to have been accepted is not there. */
  public void acceptedJobMissing(String ref) {
    if (knowledge.isIntact()) {
      listener.dataLost("job " + ref + ", which was accepted, is not there", true);
    }
  }

  /**
   * The present incarnation began without something that users were told: it is taken for lost too,
   * so that the next one begins with all that is known.
   */
  public void contentsLackKnown() {
    listener.dataLost("it began without what was told here", true);
  }

  /**
   * The contents had been put back to an earlier moment before this controller read them.
   *
   * @param why what shows it, for the log
   */
  public void contentsPutBack(String why) {
    if (knowledge.isIntact()) {
      listener.dataLost(why, false);
    }
  }
}
