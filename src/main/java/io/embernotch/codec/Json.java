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

/** Reading fields with complaints that name them. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .build();

  private Json() {}

  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Parses a body that must be one JSON object. */
  public static ObjectNode parseObject(byte[] body) {
    JsonNode n;
    try {
      n = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new MalformedInputException("not JSON");
    }
    if (n == null || !n.isObject()) {
      throw new MalformedInputException("not a JSON object");
    }
    return (ObjectNode) n;
  }

  public static byte[] bytes(JsonNode n) {
    try {
      return MAPPER.writeValueAsBytes(n);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The field, or null if it is absent or null. */
  public static JsonNode opt(JsonNode o, String name) {
    JsonNode n = o.get(name);
    return n == null || n.isNull() ? null : n;
  }

  public static JsonNode need(JsonNode o, String name) {
    JsonNode n = opt(o, name);
    if (n == null) {
      throw new MalformedInputException(name + ": missing");
    }
    return n;
  }

  public static String text(JsonNode o, String name) {
    JsonNode n = need(o, name);
    if (!n.isTextual()) {
      throw new MalformedInputException(name + ": must be a string");
    }
    return n.textValue();
  }

  public static boolean flag(JsonNode o, String name) {
    JsonNode n = need(o, name);
    if (!n.isBoolean()) {
      throw new MalformedInputException(name + ": must be true or false");
    }
    return n.booleanValue();
  }

  /** A flag that may be omitted, as one may that is null. */
  public static boolean flagOr(JsonNode o, String name, boolean fallback) {
    return opt(o, name) == null ? fallback : flag(o, name);
  }

  /** A finite number of at least 0. */
  public static double amount(JsonNode o, String name) {
    JsonNode n = need(o, name);
    double v = n.isNumber() ? n.doubleValue() : Double.NaN;
    if (!(v >= 0) || Double.isInfinite(v)) {
      throw new MalformedInputException(name + ": must be a number of at least 0");
    }
    return v;
  }

  public static long whole(JsonNode o, String name) {
    JsonNode n = need(o, name);
    if (!n.isIntegralNumber() || !n.canConvertToLong() || n.longValue() < 0) {
      throw new MalformedInputException(name + ": must be a whole number of at least 0");
    }
    return n.longValue();
  }
}
