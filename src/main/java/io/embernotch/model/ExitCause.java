package io.embernotch.model;

/** Why a task ended. */
public enum ExitCause {
  DONE,
  STOPPED,
  PEERS,
  ALONE,
  ERROR,
  NO_ROOM,
  BUSY,
  UNKNOWN
}
