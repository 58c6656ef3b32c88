package io.embernotch.model;

/** A command to a worker; {@code graceS} matters to stops only. */
public record AgentCommand(Verb verb, String ref, int task, long attempt, double graceS) {
  /** What the worker is to do with the attempt. */
  public enum Verb {
    START,
    STOP,
    FORGET
  }
}
