package io.embernotch.model;

/** From least to most urgent. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION
}
