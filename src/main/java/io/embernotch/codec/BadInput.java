package io.embernotch.codec;

/** What somebody sent is malformed; the message says how. */
public final class BadInput extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public BadInput(String message) {
    super(message, null, false, false);
  }
}
