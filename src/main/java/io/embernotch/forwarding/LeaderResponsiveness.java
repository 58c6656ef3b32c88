package io.embernotch.forwarding;

/**
 * Whether the leader answers the heartbeats that are forwarded to it. Once it has not for the
 * timeout, heartbeats are forwarded only now and then, to see whether it answers again.
 */
final class LeaderResponsiveness {
  private static final double ALL_ANSWERED = -1;

  private final double timeoutS;

  /** The first heartbeat forwarded since the leader last answered one. */
  private double unansweredSince = ALL_ANSWERED;

  private double retryAt;

  /**
   * Creates the state of a leader that answers.
   *
   * @param timeoutS seconds for which an answer is waited for
   */
  LeaderResponsiveness(double timeoutS) {
    this.timeoutS = timeoutS;
  }

  /** The leader has answered, or another one is known. */
  void reset() {
    unansweredSince = ALL_ANSWERED;
  }

  /**
   * True if a heartbeat may be forwarded; the caller then does so.
   *
   * @param now steady seconds
   */
  boolean tryForward(double now) {
    boolean unresponsive = unansweredSince >= 0 && now - unansweredSince > timeoutS;
    if (unresponsive && now < retryAt) {
      return false;
    }
    if (unresponsive) {
      retryAt = now + timeoutS / 2;
    }
    unansweredSince = unansweredSince < 0 ? now : unansweredSince;
    return true;
  }
}
