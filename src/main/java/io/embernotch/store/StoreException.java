package io.embernotch.store;

/** The store did not do what it was asked, or did not say whether it did. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known of the request that failed. */
  public enum Kind {
    /** It was not executed and never will be. */
    REFUSED,
    /** It may have been executed, or may yet be. */
    UNKNOWN,
    /** It was not executed, and the same request never will be: it is too large, for example. */
    MALFORMED,
    /** The lease that the write names has ended. */
    NO_LEASE,
    /** The watch asks for changes that are no longer kept. */
    TOO_OLD,
    /**
     * It was meant for contents that are gone: the service has lost data, or another incarnation
     * began.
     */
    LOST
  }

  private final Kind kind;

  /** A failure without stack trace, since it is an ordinary answer. */
  public StoreException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** What is known of the request that failed. */
  public Kind kind() {
    return kind;
  }

  /** The kind of a failure; {@code UNKNOWN} if it is not a {@link StoreException}. */
  public static Kind kindOf(Throwable failure) {
    return failure instanceof StoreException store ? store.kind : Kind.UNKNOWN;
  }
}
