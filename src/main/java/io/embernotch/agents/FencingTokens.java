package io.embernotch.agents;

/** Tokens: the epoch of a term, and below it a counter that is raised machine by machine. */
public final class FencingTokens {
  private static final int EPOCH_BITS = 20;

  private FencingTokens() {}

  /** Lowest token of a term. */
  public static long base(long epoch) {
    return epoch << EPOCH_BITS;
  }

  /** The epoch of the leader that gave a token. */
  public static long epochOf(long token) {
    return token >>> EPOCH_BITS;
  }
}
