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
    for (String c : controllers) {
      long w = weight(machine, c);
      if (best == null || w > bestWeight || (w == bestWeight && c.compareTo(best) < 0)) {
        best = c;
        bestWeight = w;
      }
    }
    return best;
  }

  private static long weight(String machine, String controller) {
    CRC32 crc = new CRC32();
    crc.update((controller + "|" + machine).getBytes(StandardCharsets.UTF_8));
    // CRC is linear; a multiplicative finish keeps close names from sharing an owner.
    long h = crc.getValue() * 0x9E3779B97F4A7C15L;
    return (h ^ (h >>> 29)) >>> 1;
  }
}
