package io.embernotch.model;

/** The phase of a job that its user sees. */
public enum JobPhase {
  /** No task runs. */
  QUEUED,
  /** At least one task runs. */
  RUNNING,
  /** All tasks are done. */
  DONE,
  /** Cancelled by its user, or since a job that it depends on was. */
  CANCELLED;

  /** Whether no other phase can follow. */
  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }
}
