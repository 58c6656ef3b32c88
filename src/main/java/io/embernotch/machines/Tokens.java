package io.embernotch.machines;

/** Tokens: the epoch of a stewardship, and below it a counter that is raised machine by machine. */
public final class Tokens {
  private static final int EPOCH_BITS = 20;

  private Tokens() {}

  /** Lowest token of a stewardship. */
  public static long base(long epoch) {
    return epoch << EPOCH_BITS;
  }

  /** The epoch of the steward that gave a token. */
  public static long epochOf(long token) {
    return token >>> EPOCH_BITS;
  }
}
