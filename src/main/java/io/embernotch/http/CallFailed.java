package io.embernotch.http;

/** A call got no answer. If {@code sent} is false, the other side cannot have executed it. */
public final class CallFailed extends RuntimeException {
  private static final long serialVersionUID = 1L;
  public final boolean sent;

  public CallFailed(boolean sent, String message) {
    super(message, null, false, false);
    this.sent = sent;
  }
}
