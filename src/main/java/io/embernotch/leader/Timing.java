package io.embernotch.leader;

/** Times that stand for something else than a time, in seconds. */
final class Timing {
  /** The shortest pause that a timer knows: the next iteration of the event loop. */
  static final double NEXT_ITERATION_S = 0.001;

  private Timing() {}
}
