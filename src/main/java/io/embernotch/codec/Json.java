package io.embernotch.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Parses JSON and reads typed fields of objects; error messages start with the field's name. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .build();

  private Json() {}

  /** Returns a new, empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /**
   * Parses a body that must be one JSON object without duplicate fields or trailing content.
   *
   * @throws MalformedInputException if the body is anything else
   */
  public static ObjectNode parseObject(byte[] body) {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new MalformedInputException("not JSON");
    }
    if (node == null || !node.isObject()) {
      throw new MalformedInputException("not a JSON object");
    }
    return (ObjectNode) node;
  }

  /** Encodes a node as JSON text in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns a field, or null if it is absent or JSON null. */
  public static JsonNode optional(JsonNode object, String name) {
    JsonNode node = object.get(name);
    return node == null || node.isNull() ? null : node;
  }

  /**
   * Returns a required field.
   *
   * @throws MalformedInputException if it is absent or JSON null
   */
  public static JsonNode required(JsonNode object, String name) {
    JsonNode node = optional(object, name);
    if (node == null) {
      throw new MalformedInputException(name + ": missing");
    }
    return node;
  }

  /**
   * Reads a required string.
   *
   * @throws MalformedInputException if the field is missing or not a string
   */
  public static String text(JsonNode object, String name) {
    JsonNode node = required(object, name);
    if (!node.isTextual()) {
      throw new MalformedInputException(name + ": must be a string");
    }
    return node.textValue();
  }

  /**
   * Reads a required boolean.
   *
   * @throws MalformedInputException if the field is missing or not a boolean
   */
  public static boolean bool(JsonNode object, String name) {
    JsonNode node = required(object, name);
    if (!node.isBoolean()) {
      throw new MalformedInputException(name + ": must be true or false");
    }
    return node.booleanValue();
  }

  /**
   * Reads an optional boolean.
   *
   * @param fallback returned if the field is absent or JSON null
   * @throws MalformedInputException if the field is present and not a boolean
   */
  public static boolean boolOr(JsonNode object, String name, boolean fallback) {
    return optional(object, name) == null ? fallback : bool(object, name);
  }

  /**
   * Reads a required finite number of at least 0.
   *
   * @throws MalformedInputException if the field is missing or not such a number
   */
  public static double nonNegativeDouble(JsonNode object, String name) {
    JsonNode node = required(object, name);
    double number = node.isNumber() ? node.doubleValue() : Double.NaN;
    if (!(number >= 0) || Double.isInfinite(number)) {
      throw new MalformedInputException(name + ": must be a number of at least 0");
    }
    return number;
  }

  /**
   * Reads an optional finite number of at least 0.
   *
   * @param fallback returned if the field is absent or JSON null
   * @throws MalformedInputException if the field is present and not such a number
   */
  public static double nonNegativeDoubleOr(JsonNode object, String name, double fallback) {
    return optional(object, name) == null ? fallback : nonNegativeDouble(object, name);
  }

  /**
   * Reads a required integer of at least 0 that fits into a long.
   *
   * @throws MalformedInputException if the field is missing or not such a number
   */
  public static long whole(JsonNode object, String name) {
    JsonNode node = required(object, name);
    if (!node.isIntegralNumber() || !node.canConvertToLong() || node.longValue() < 0) {
      throw new MalformedInputException(name + ": must be a whole number of at least 0");
    }
    return node.longValue();
  }
}
