package io.embernotch.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A TOML table together with its path, so that every error names its field. All methods throw
 * {@link SettingsException} if a field is missing or of another type.
 *
 * @param node the table
 * @param path its path, empty for the root
 */
record TomlTable(JsonNode node, String path) {
  private String at(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private JsonNode need(String name) {
    JsonNode value = node.get(name);
    if (value == null) {
      throw new SettingsException(at(name) + ": missing");
    }
    return value;
  }

  /** Whether a field is there. */
  boolean has(String name) {
    return node.get(name) != null;
  }

  /** A table that must be there. */
  TomlTable table(String name) {
    JsonNode value = need(name);
    if (!value.isObject()) {
      throw new SettingsException(at(name) + ": must be a table");
    }
    return new TomlTable(value, at(name));
  }

  /** An array of tables; empty if it is absent. */
  List<TomlTable> tables(String name) {
    JsonNode value = node.get(name);
    if (value == null) {
      return List.of();
    }
    if (!value.isArray()) {
      throw new SettingsException(at(name) + ": must be an array of tables");
    }
    List<TomlTable> tables = new ArrayList<>();
    for (int i = 0; i < value.size(); i++) {
      String place = at(name) + "[" + i + "]";
      if (!value.get(i).isObject()) {
        throw new SettingsException(place + ": must be a table");
      }
      tables.add(new TomlTable(value.get(i), place));
    }
    return tables;
  }

  /** A string that must be there and not be blank. */
  String text(String name) {
    JsonNode value = need(name);
    if (!value.isTextual() || value.asText().isBlank()) {
      throw new SettingsException(at(name) + ": must be a non-empty string");
    }
    return value.asText();
  }

  /** A string, or {@code fallback} if it is absent. */
  String textOr(String name, String fallback) {
    return has(name) ? text(name) : fallback;
  }

  /** A non-empty array of strings. */
  List<String> texts(String name) {
    JsonNode value = need(name);
    if (!value.isArray() || value.isEmpty()) {
      throw notTexts(name);
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode item : value) {
      if (!item.isTextual()) {
        throw notTexts(name);
      }
      texts.add(item.asText());
    }
    return List.copyOf(texts);
  }

  private SettingsException notTexts(String name) {
    return new SettingsException(at(name) + ": must be a non-empty array of strings");
  }

  /** An address as HOST:PORT. */
  HostPort address(String name) {
    try {
      return HostPort.parse(text(name));
    } catch (IllegalArgumentException e) {
      throw new SettingsException(at(name) + ": " + e.getMessage());
    }
  }

  /** A number of at least 0, or {@code fallback} if it is absent. */
  double number(String name, double fallback) {
    JsonNode value = node.get(name);
    if (value == null) {
      return fallback;
    }
    if (!value.isNumber() || !(value.asDouble() >= 0) || Double.isInfinite(value.asDouble())) {
      throw new SettingsException(at(name) + ": must be a number of at least 0");
    }
    return value.asDouble();
  }

  /** A number above 0. */
  double positive(String name) {
    need(name);
    double number = number(name, 0);
    if (number <= 0) {
      throw new SettingsException(at(name) + ": must be above 0");
    }
    return number;
  }

  /** A whole number above 0. */
  int count(String name) {
    double number = positive(name);
    if (number != Math.rint(number) || number > Integer.MAX_VALUE) {
      throw new SettingsException(at(name) + ": must be a whole number");
    }
    return (int) number;
  }
}
