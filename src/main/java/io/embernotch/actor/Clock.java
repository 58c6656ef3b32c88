package io.embernotch.actor;

/** The two clocks of a process; injected, so that tests can turn them by hand. */
public interface Clock {
  /** Steady seconds from an arbitrary start; may run 0.05% fast. */
  double now();

  /** The time of day in milliseconds, right within the bound that the settings give. */
  long wallMs();
}
