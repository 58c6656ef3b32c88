package io.embernotch.http;

/** A call got no answer. If {@code sent} is false, the other side cannot have executed it. */
public final class CallFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  public final boolean sent;

  /** False if this side had no room to try: then it says nothing of the other side. */
  public final boolean tried;

  public CallFailedException(boolean sent, String message) {
    super(message, null, false, false);
    this.sent = sent;
    this.tried = true;
  }

  private CallFailedException(String message) {
    super(message, null, false, false);
    this.sent = false;
    this.tried = false;
  }

  public static CallFailedException untried(String message) {
    return new CallFailedException(message);
  }
}
