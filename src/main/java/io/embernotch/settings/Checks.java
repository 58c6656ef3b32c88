package io.embernotch.settings;

/** Checks of single settings; each error names its field. */
final class Checks {
  /** What ids and names in the operators' file are made of. */
  private static final String NAME = "[a-z0-9-]{1,40}";

  private Checks() {}

  /**
   * Requires a condition.
   *
   * @param error the message otherwise, starting with the field
   * @throws SettingsException if it does not hold
   */
  static void require(boolean condition, String error) {
    if (!condition) {
      throw new SettingsException(error);
    }
  }

  /**
   * Requires the form of an id or a name.
   *
   * @throws SettingsException if the text has another form
   */
  static void requireName(String field, String text) {
    require(text.matches(NAME), field + ": must be 1 to 40 of a-z, 0-9 and -");
  }

  /**
   * Requires a number within bounds, both included.
   *
   * @throws SettingsException if it is outside
   */
  static double within(String field, double number, double low, double high) {
    require(
        number >= low && number <= high,
        field + ": must be between " + low + " and " + high + ", is " + number);
    return number;
  }
}
