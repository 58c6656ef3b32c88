package io.embernotch.store;

/** A request to the store failed, or its outcome is unknown. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The outcome of a failed request, as far as it is known. */
  public enum Kind {
    /** The request was not executed and never will be. */
    REFUSED,
    /** The request may have been executed or may yet be. */
    UNKNOWN,
    /** The store rejected the request, and would reject it again; it is too large, for example. */
    MALFORMED,
    /** A write in the transaction refers to a lease that has ended. */
    NO_LEASE,
    /** The watch requests changes that the store no longer keeps. */
    TOO_OLD,
    /**
     * The request was meant for former contents of the store: the store has lost data, or another
     * incarnation has begun.
     */
    LOST
  }

  private final Kind kind;

  /** Creates an exception without a stack trace, since failures of the store are expected. */
  public StoreException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** The outcome of the failed request, as far as it is known. */
  public Kind kind() {
    return kind;
  }

  /** Returns the kind of a failure; {@code UNKNOWN} if it is not a {@link StoreException}. */
  public static Kind kindOf(Throwable failure) {
    return failure instanceof StoreException store ? store.kind : Kind.UNKNOWN;
  }
}
