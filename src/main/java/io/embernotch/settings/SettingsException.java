package io.embernotch.settings;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** A setting that is missing or wrong; the message is one line that names the field. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** An error in a field, which {@code message} names. */
  public SettingsException(String message) {
    super(message);
  }

  /** A settings file, or another file that a command needs, that cannot be read. */
  public static SettingsException unreadable(Path file, IOException e) {
    String why = e instanceof NoSuchFileException ? "no such file" : e.getMessage();
    return new SettingsException("cannot read " + file + ": " + why);
  }
}
