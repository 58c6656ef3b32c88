package io.embernotch.model;

/** Why an attempt exited, as its worker reports it. */
public enum ExitCause {
  /** The task is completed. */
  DONE,
  /** It was stopped by command. */
  STOPPED,
  /** Gang task: another task of the gang is gone. */
  PEERS,
  /** Gang task: the gang was not complete in time. */
  ALONE,
  /** It failed. */
  ERROR,
  /** Start refused: not enough free resources on the machine. */
  NO_ROOM,
  /** Start refused: another attempt of the task is on the machine. */
  BUSY,
  /** Start refused: the worker's side knows no such job or task. */
  UNKNOWN
}
