package io.embernotch.model;

/** What a user is told of a job. */
public enum JobPhase {
  QUEUED,
  RUNNING,
  DONE,
  CANCELLED;

  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }
}
