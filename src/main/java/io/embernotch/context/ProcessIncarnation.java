package io.embernotch.context;

import java.util.function.Supplier;

/**
 * Numbers of which each life of a process has its own: 31 bits that name the life, 32 that count in
 * it. A process of the same name and address may be back within a fraction of a second, and what
 * was said to or by the one before it may arrive only then; the time of day, which can go back by
 * more than that, tells no lives apart.
 */
public final class ProcessIncarnation {
  private static final int COUNTED_BITS = 32;

  private ProcessIncarnation() {}

  /**
   * The number before the first of a life that begins now; {@code names} gives names that nobody
   * else ever has.
   */
  public static long begin(Supplier<String> names) {
    return (names.get().hashCode() & 0x7fffffffL) << COUNTED_BITS;
  }

  /** Which life a number is of. */
  public static long of(long number) {
    return number >>> COUNTED_BITS;
  }
}
