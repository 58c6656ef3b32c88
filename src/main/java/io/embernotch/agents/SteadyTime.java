package io.embernotch.agents;

/** Instants on the steady clock, in seconds. */
final class SteadyTime {
  /** Earlier than any instant that the clock gives: an event that has not happened. */
  static final double NEVER = -1e9;

  private SteadyTime() {}
}
