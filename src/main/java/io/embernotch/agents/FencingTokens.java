package io.embernotch.agents;

/**
 * Defines the layout of fencing tokens: the epoch of a term in the upper bits, and a counter for
 * each machine in the lower ones. An agent that has seen a token refuses commands with a lower one.
 */
public final class FencingTokens {
  private static final int EPOCH_SHIFT_BITS = 20;

  private FencingTokens() {}

  /** The lowest token of the term with this epoch. */
  public static long base(long epoch) {
    return epoch << EPOCH_SHIFT_BITS;
  }

  /** The epoch of the term in which a token was issued. */
  public static long epochOf(long token) {
    return token >>> EPOCH_SHIFT_BITS;
  }
}
