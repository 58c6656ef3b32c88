package io.embernotch.store;

/** The HTTP status codes that the store answers with. */
final class StatusCodes {
  static final int OK = 200;

  /** The request is malformed, exceeds a limit, or names a lease that has ended. */
  static final int BAD_REQUEST = 400;

  static final int NOT_FOUND = 404;

  /** A condition of a transaction did not hold. */
  static final int CONFLICT = 409;

  /** The changes that a watch asks for are no longer kept. */
  static final int GONE = 410;

  /** The request exceeds the rate limit and was not executed. */
  static final int TOO_MANY_REQUESTS = 429;

  static final int UNAVAILABLE = 503;

  private StatusCodes() {}
}
