package io.embernotch.context;

import java.util.function.Supplier;

/**
 * Message numbers that are distinct for each incarnation of a process: 31 bits that name the
 * incarnation, 32 that count in it. A process of the same name and address may be back within a
 * fraction of a second, and messages to or from the one before it may arrive only then. The time of
 * day cannot tell incarnations apart, since it can go back by more than that.
 */
public final class ProcessIncarnation {
  private static final int COUNTER_BITS = 32;
  private static final long INCARNATION_MASK = 0x7fffffffL;

  private ProcessIncarnation() {}

  /**
   * The number before the first one of an incarnation that begins now.
   *
   * @param names makes globally unique names
   */
  public static long begin(Supplier<String> names) {
    return (names.get().hashCode() & INCARNATION_MASK) << COUNTER_BITS;
  }

  /** The incarnation that a number is of. */
  public static long of(long number) {
    return number >>> COUNTER_BITS;
  }
}
