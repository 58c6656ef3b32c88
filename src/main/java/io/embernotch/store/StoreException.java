package io.embernotch.store;

/** The store did not do what it was asked, or did not say. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known of the request that failed. */
  public enum Kind {
    /** It was not executed and never will be. */
    REFUSED,
    /** It may have been executed, or may yet be. */
    UNKNOWN,
    /** It was not executed, and the same request never will be: too large, say. */
    MALFORMED,
    /** The lease that the write names has ended. */
    NO_LEASE,
    /** The watch asks for changes that are no longer kept. */
    TOO_OLD,
    /**
     * What was asked was asked of contents that are no more: the service has lost data, or another
     * incarnation began.
     */
    LOST
  }

  public final Kind kind;

  public StoreException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  public static Kind kindOf(Throwable t) {
    return t instanceof StoreException f ? f.kind : Kind.UNKNOWN;
  }
}
