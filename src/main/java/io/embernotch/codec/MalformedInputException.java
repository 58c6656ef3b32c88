package io.embernotch.codec;

/**
 * Thrown if input from outside the process is malformed: a request body, a frame, a stored value or
 * a response. It has no stack trace, because any client can cause it at a high rate.
 */
public final class MalformedInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * @param message what is malformed, starting with the name of the field if there is one; may be
   *     sent to the client
   */
  public MalformedInputException(String message) {
    super(message, null, false, false);
  }
}
