package io.embernotch.context;

import java.util.function.Supplier;

/**
 * Message numbers that differ between the incarnations of a process: the upper 31 bits identify the
 * incarnation, the lower 32 bits count its messages. A process may be restarted with the same name
 * and address within a fraction of a second, while messages to or from its predecessor are still in
 * flight. Wall-clock time can't tell the two incarnations apart, since it may be set back by more
 * than that.
 */
public final class ProcessIncarnation {
  private static final int COUNTER_BITS = 32;
  private static final long INCARNATION_MASK = 0x7fffffffL;

  private ProcessIncarnation() {}

  /**
   * Starts a new incarnation.
   *
   * @param nameGenerator generates globally unique names
   * @return the number before the first message number of the incarnation
   */
  public static long begin(Supplier<String> nameGenerator) {
    return (nameGenerator.get().hashCode() & INCARNATION_MASK) << COUNTER_BITS;
  }

  /** The incarnation that a message number belongs to. */
  public static long of(long messageNumber) {
    return messageNumber >>> COUNTER_BITS;
  }
}
