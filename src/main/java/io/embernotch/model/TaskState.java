package io.embernotch.model;

/** State of a task on its machine, as its worker reports it. */
public enum TaskState {
  /** Waits for its image. */
  FETCHING,
  /** Gang task: waits for the other tasks of its attempt. */
  WAITING,
  /** Runs. */
  RUNNING,
  /** Was told to stop, and saves. */
  SAVING,
  /** Has ended; {@link ExitCause} says why. */
  EXITED
}
