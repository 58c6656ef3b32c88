package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Versions of shared state entries: of two values of an entry the one with the higher version is
 * the later one.
 */
public final class Versions {
  /** The field of a value that holds its version. */
  public static final String FIELD = "n";

  private Versions() {}

  /** The version of a value; 0 if it has none. */
  public static long of(JsonNode value) {
    return value.path(FIELD).asLong(0);
  }

  /**
   * The later of two values. Equal versions come from the same write; were they not, the choice
   * would not depend on the order of the arguments.
   */
  public static ObjectNode later(ObjectNode a, ObjectNode b) {
    if (of(a) != of(b)) {
      return of(a) > of(b) ? a : b;
    }
    return a.toString().compareTo(b.toString()) >= 0 ? a : b;
  }
}
