package io.embernotch.codec;

/**
 * Input from outside the process (a request body, a frame, a stored value or a reply) is malformed.
 * It has no stack trace, since anybody can cause it at any rate.
 */
public final class MalformedInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * @param message what is malformed, starting with the field if there is one; may be sent to the
   *     caller
   */
  public MalformedInputException(String message) {
    super(message, null, false, false);
  }
}
