package io.embernotch.settings;

/** A setting that is missing or wrong; the message is one line that names the field. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public SettingsException(String message) {
    super(message);
  }
}
