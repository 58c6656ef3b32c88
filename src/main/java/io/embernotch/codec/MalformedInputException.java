package io.embernotch.codec;

/** What somebody sent is malformed; the message says how. */
public final class MalformedInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public MalformedInputException(String message) {
    super(message, null, false, false);
  }
}
