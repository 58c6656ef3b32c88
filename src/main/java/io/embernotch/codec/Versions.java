package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Compares values of a shared state entry: the one with the higher version is the later one. */
public final class Versions {
  /** Name of the field that contains the version. */
  public static final String FIELD = "n";

  private Versions() {}

  /** Returns the version of a value; 0 if it has none. */
  public static long of(JsonNode value) {
    return value.path(FIELD).asLong(0);
  }

  /**
   * Returns the later of two values. Values with equal versions come from the same write; if they
   * differ nevertheless, the result does not depend on the order of the arguments.
   */
  public static ObjectNode later(ObjectNode a, ObjectNode b) {
    if (of(a) != of(b)) {
      return of(a) > of(b) ? a : b;
    }
    return a.toString().compareTo(b.toString()) >= 0 ? a : b;
  }
}
