package io.embernotch.model;

/** How the tasks of a job belong together. */
public enum JobShape {
  /** Independent tasks, each of which runs to completion. */
  ARRAY,
  /** All tasks run at the same time, or none does. */
  GANG,
  /** Tasks are replicas that run until the job is cancelled. */
  SERVICE
}
