package io.embernotch.http;

/**
 * An HTTP call that got no answer. {@link #sent} and {@link #tried} say what that proves about the
 * other side.
 */
public final class CallFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;
  private final boolean tried;

  /**
   * A call that was tried and failed.
   *
   * @param sent whether the request, or a part of it, may have left this process
   * @param message what went wrong, for the log
   */
  public CallFailedException(boolean sent, String message) {
    this(sent, true, message);
  }

  private CallFailedException(boolean sent, boolean tried, String message) {
    super(message, null, false, false);
    this.sent = sent;
    this.tried = tried;
  }

  /**
   * A call that this process had no capacity to try.
   *
   * @param message what was lacking, for the log
   */
  public static CallFailedException untried(String message) {
    return new CallFailedException(false, false, message);
  }

  /** False if the other side cannot have executed the request; true if it may have. */
  public boolean sent() {
    return sent;
  }

  /** False if this process had no capacity to try: the failure says nothing of the other side. */
  public boolean tried() {
    return tried;
  }
}
