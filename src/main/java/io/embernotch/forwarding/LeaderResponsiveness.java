package io.embernotch.forwarding;

/**
 * Tracks whether the leader answers the heartbeats that are forwarded to it. Once it has not
 * answered for the timeout, one heartbeat is forwarded per half timeout, to detect when it answers
 * again.
 */
final class LeaderResponsiveness {
  /** Value of {@link #unansweredSince} while no heartbeat is unanswered. */
  private static final double ALL_ANSWERED = -1;

  private final double timeoutS;

  /** When the first heartbeat after the leader's last response was forwarded. */
  private double unansweredSince = ALL_ANSWERED;

  /** When the next heartbeat may be forwarded to an unresponsive leader. */
  private double retryAt;

  /**
   * Creates the state of a responsive leader.
   *
   * @param timeoutS seconds without a response after which the leader counts as unresponsive
   */
  LeaderResponsiveness(double timeoutS) {
    this.timeoutS = timeoutS;
  }

  /** Records that the leader has answered, or that another leader is known. */
  void reset() {
    unansweredSince = ALL_ANSWERED;
  }

  /**
   * Returns whether a heartbeat may be forwarded. If so, the caller must forward it.
   *
   * @param now seconds of the steady clock
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
