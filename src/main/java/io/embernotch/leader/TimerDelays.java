package io.embernotch.leader;

/** Timer delays in seconds. */
final class TimerDelays {
  /** The shortest timer delay: the next iteration of the event loop. */
  static final double NEXT_ITERATION_S = 0.001;

  private TimerDelays() {}
}
