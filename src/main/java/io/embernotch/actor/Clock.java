package io.embernotch.actor;

/** The two clocks of a process; injected, so that tests can set them. */
public interface Clock {
  /** A steady time for what has not happened: every interval since then is over. */
  double NEVER = -1e9;

  /** Steady seconds from an arbitrary start; may run 0.05% fast. */
  double now();

  /** The time of day in milliseconds, right within the bound that the settings give. */
  long wallMs();
}
