package io.embernotch.straggler;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.zip.CRC32;

/**
 * Splits machines among live controllers by rendezvous hashing: a change of one moves only its
 * part.
 */
public final class MachinePartitions {
  private MachinePartitions() {}

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
    // CRC is linear; a multiplicative finish keeps close names from sharing an owner.
    long hash = crc.getValue() * 0x9E3779B97F4A7C15L;
    return (hash ^ (hash >>> 29)) >>> 1;
  }
}
