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

/** Reads fields of JSON objects; errors name the field. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .build();

  private Json() {}

  /** A new, empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /**
   * Parses a body that must be one JSON object, without duplicate fields or trailing content.
   *
   * @throws MalformedInputException if it is not
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

  /** The JSON text of a node in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The field, or null if it is absent or JSON null. */
  public static JsonNode opt(JsonNode object, String name) {
    JsonNode node = object.get(name);
    return node == null || node.isNull() ? null : node;
  }

  /**
   * A field that must be there.
   *
   * @throws MalformedInputException if it is absent or JSON null
   */
  public static JsonNode need(JsonNode object, String name) {
    JsonNode node = opt(object, name);
    if (node == null) {
      throw new MalformedInputException(name + ": missing");
    }
    return node;
  }

  /**
   * A string.
   *
   * @throws MalformedInputException if the field is missing or no string
   */
  public static String text(JsonNode object, String name) {
    JsonNode node = need(object, name);
    if (!node.isTextual()) {
      throw new MalformedInputException(name + ": must be a string");
    }
    return node.textValue();
  }

  /**
   * A boolean.
   *
   * @throws MalformedInputException if the field is missing or no boolean
   */
  public static boolean flag(JsonNode object, String name) {
    JsonNode node = need(object, name);
    if (!node.isBoolean()) {
      throw new MalformedInputException(name + ": must be true or false");
    }
    return node.booleanValue();
  }

  /**
   * A boolean that may be absent or JSON null.
   *
   * @param fallback its value then
   * @throws MalformedInputException if the field is there and no boolean
   */
  public static boolean flagOr(JsonNode object, String name, boolean fallback) {
    return opt(object, name) == null ? fallback : flag(object, name);
  }

  /**
   * A finite number of at least 0.
   *
   * @throws MalformedInputException if the field is missing or no such number
   */
  public static double amount(JsonNode object, String name) {
    JsonNode node = need(object, name);
    double number = node.isNumber() ? node.doubleValue() : Double.NaN;
    if (!(number >= 0) || Double.isInfinite(number)) {
      throw new MalformedInputException(name + ": must be a number of at least 0");
    }
    return number;
  }

  /**
   * An {@linkplain #amount amount} that may be absent or JSON null.
   *
   * @param fallback its value then
   * @throws MalformedInputException if the field is there and no such number
   */
  public static double amountOr(JsonNode object, String name, double fallback) {
    return opt(object, name) == null ? fallback : amount(object, name);
  }

  /**
   * A whole number of at least 0.
   *
   * @throws MalformedInputException if the field is missing or no such number
   */
  public static long whole(JsonNode object, String name) {
    JsonNode node = need(object, name);
    if (!node.isIntegralNumber() || !node.canConvertToLong() || node.longValue() < 0) {
      throw new MalformedInputException(name + ": must be a whole number of at least 0");
    }
    return node.longValue();
  }
}
