package io.embernotch.model;

/** Priority of a job; constants are in ascending order. */
public enum Priority {
  /** Runs on what others leave. */
  LOW,
  /** The usual priority. */
  NORMAL,
  /** Before the usual priority. */
  HIGH,
  /** Live services. */
  PRODUCTION
}
