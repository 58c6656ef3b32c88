package io.embernotch.reservation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.ReservationCodec;
import io.embernotch.scheduling.ReservationAmounts;
import io.embernotch.scheduling.Resources;
import io.embernotch.settings.Reservation;
import io.embernotch.shared.SharedState;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The shared state entries that say what is reserved on which machines. Maps are by machine name.
 */
final class ReservationShards {
  /** Prefix of the entries' names; the reservation's name and the shard's number follow. */
  private static final String PREFIX = "held/";

  /** The field of an entry that lists the machines. */
  private static final String MACHINES = "on";

  /** Entries that a reservation is spread over, so that a change rewrites only a part of it. */
  private static final int SHARDS = 4;

  /** Bytes of a machine in an entry: a name, three amounts in thousandths, and quotes. */
  private static final int BYTES_PER_MACHINE = 56;

  private static final int BYTES_PER_KB = 1024;

  private final SharedState shared;

  /** The last result of {@link #possiblyStored}, and what it was made of. */
  private Map<String, ReservationAmounts> possiblyStored = Map.of();

  private long possiblyStoredVersion = -1;
  private long possiblyStoredGeneration = -1;

  ReservationShards(SharedState shared) {
    this.shared = shared;
  }

  /** What the store is known to hold. */
  Map<String, ReservationAmounts> stored(List<Reservation> reservations) {
    Map<String, ReservationAmounts> stored = new TreeMap<>();
    for (int i = 0; i < reservations.size(); i++) {
      for (int shard = 0; shard < SHARDS; shard++) {
        addTo(stored, shared.get(name(reservations.get(i), shard)), i, reservations.size());
      }
    }
    return stored;
  }

  /**
   * What the store holds or may hold: a commit that is not answered yet may have been applied.
   *
   * @param generation of the reservations
   */
  Map<String, ReservationAmounts> possiblyStored(List<Reservation> reservations, long generation) {
    if (possiblyStoredVersion == shared.changeCounter() && possiblyStoredGeneration == generation) {
      return possiblyStored;
    }
    Map<String, ReservationAmounts> result = stored(reservations);
    for (int i = 0; i < reservations.size(); i++) {
      for (int shard = 0; shard < SHARDS; shard++) {
        addTo(
            result, shared.pendingValue(name(reservations.get(i), shard)), i, reservations.size());
      }
    }
    possiblyStored = result;
    possiblyStoredVersion = shared.changeCounter();
    possiblyStoredGeneration = generation;
    return result;
  }

  private static void addTo(
      Map<String, ReservationAmounts> reserved, ObjectNode entry, int index, int reservations) {
    if (entry != null) {
      ReservationCodec.readReserved(entry)
          .forEach(
              (machine, amounts) -> {
                ReservationAmounts there =
                    reserved.getOrDefault(machine, ReservationAmounts.zeros(reservations));
                Resources amount = new Resources(amounts[0], amounts[1], amounts[2]);
                reserved.put(machine, there.with(index, there.get(index).max(amount)));
              });
    }
  }

  private static String name(Reservation reservation, int shard) {
    return PREFIX + reservation.name() + "/" + shard;
  }

  /** Empties the entries of reservations that are not among these. */
  void clearOthers(List<Reservation> reservations) {
    for (Map.Entry<String, ObjectNode> entry : shared.storedValues(PREFIX).entrySet()) {
      boolean current =
          reservations.stream()
              .anyMatch(
                  reservation -> entry.getKey().startsWith(PREFIX + reservation.name() + "/"));
      if (!current && !entry.getValue().path(MACHINES).isEmpty()) {
        shared.put(entry.getKey(), ReservationCodec.writeReserved(Map.of()), () -> {});
      }
    }
  }

  /**
   * Writes what is to be reserved for one reservation, as far as it differs from what is stored. A
   * shard that is still being written is left to the next time.
   *
   * @param valueKb largest value that the store takes, in kilobytes
   * @param durable runs for each entry once the store holds it
   */
  void write(
      Reservation reservation,
      int index,
      Map<String, ReservationAmounts> wanted,
      double valueKb,
      Runnable durable) {
    int maxMachines = (int) (valueKb * BYTES_PER_KB / BYTES_PER_MACHINE);
    for (int shard = 0; shard < SHARDS; shard++) {
      Map<String, double[]> amounts = amounts(index, shard, wanted, maxMachines);
      String name = name(reservation, shard);
      ObjectNode value = ReservationCodec.writeReserved(amounts);
      ObjectNode stored = shared.get(name);
      boolean same =
          stored == null ? amounts.isEmpty() : stored.path(MACHINES).equals(value.path(MACHINES));
      if (!same && !shared.hasPendingChange(name)) {
        shared.put(name, value, durable);
      }
    }
  }

  private static Map<String, double[]> amounts(
      int index, int shard, Map<String, ReservationAmounts> wanted, int maxMachines) {
    Map<String, double[]> amounts = new TreeMap<>();
    wanted.forEach(
        (machine, reserved) -> {
          Resources amount = reserved.get(index);
          if (Math.floorMod(machine.hashCode(), SHARDS) == shard
              && !amount.isZero()
              && amounts.size() < maxMachines) {
            amounts.put(machine, new double[] {amount.cpus(), amount.gpus(), amount.memGb()});
          }
        });
    return amounts;
  }
}
