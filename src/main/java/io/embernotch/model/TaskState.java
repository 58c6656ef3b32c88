package io.embernotch.model;

/** What a worker says of a task it holds. */
public enum TaskState {
  FETCHING,
  WAITING,
  RUNNING,
  SAVING,
  EXITED
}
