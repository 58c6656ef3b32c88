package io.embernotch.model;

/** How the tasks of a job belong together. */
public enum JobShape {
  ARRAY,
  GANG,
  SERVICE
}
