package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Versions of shared facts: of two values of a fact the one with the higher version is the later
 * one.
 */
public final class Versions {
  /** The field of a value that holds its version. */
  public static final String FIELD = "n";

  private Versions() {}

  /** 0 for a value without one. */
  public static long of(JsonNode value) {
    return value.path(FIELD).asLong(0);
  }

  /**
   * The later of two values. Equal versions are of one writing; were they not, the choice does not
   * depend on the order.
   */
  public static ObjectNode later(ObjectNode a, ObjectNode b) {
    if (of(a) != of(b)) {
      return of(a) > of(b) ? a : b;
    }
    return a.toString().compareTo(b.toString()) >= 0 ? a : b;
  }
}
