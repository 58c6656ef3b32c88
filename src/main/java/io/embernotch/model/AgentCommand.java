package io.embernotch.model;

/**
 * A command to a worker about one attempt.
 *
 * @param verb what to do
 * @param ref id of the job
 * @param task number of the task within its job
 * @param attempt number of the attempt
 * @param graceS seconds that a stopped task has to save; 0 for other verbs
 */
public record AgentCommand(Verb verb, String ref, int task, long attempt, double graceS) {
  /** What the worker is to do with the attempt. */
  public enum Verb {
    /** Start the attempt. */
    START,
    /** Stop the attempt, which may save within its grace period. */
    STOP,
    /** Leave the exited attempt out of further heartbeats. */
    FORGET
  }
}
