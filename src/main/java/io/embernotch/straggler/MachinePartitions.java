package io.embernotch.straggler;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.zip.CRC32;

/**
 * Splits machines among live controllers by rendezvous hashing: a change of one controller moves
 * only its own partition.
 */
public final class MachinePartitions {
  /** 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing. */
  private static final long FIBONACCI_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private static final int MIX_SHIFT = 29;

  private MachinePartitions() {}

  /**
   * The controller whose partition a machine is in; null if there is no controller.
   *
   * @param controllers names of the live controllers, in any order
   */
  public static String owner(String machine, Collection<String> controllers) {
    String best = null;
    long bestWeight = -1;
    for (String controller : controllers) {
      long weight = weight(machine, controller);
      if (best == null
          || weight > bestWeight
          || (weight == bestWeight && controller.compareTo(best) < 0)) {
        best = controller;
        bestWeight = weight;
      }
    }
    return best;
  }

  private static long weight(String machine, String controller) {
    CRC32 crc = new CRC32();
    crc.update((controller + "|" + machine).getBytes(StandardCharsets.UTF_8));
    // CRC is linear; a multiplicative finish keeps similar names from sharing an owner.
    long hash = crc.getValue() * FIBONACCI_MULTIPLIER;
    return (hash ^ (hash >>> MIX_SHIFT)) >>> 1;
  }
}
