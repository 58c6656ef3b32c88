package io.embernotch.reservation;

import io.embernotch.scheduling.ReservationAmounts;
import io.embernotch.scheduling.Resources;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * How far what is wanted differs from what is stored. CPUs, GPUs and gigabytes are added up as they
 * are: only the proportion counts.
 *
 * @param difference sum of the differences
 * @param wanted sum of what is wanted
 */
record ReservationDifference(double difference, double wanted) {

  /** The difference of two states, by machine name, with so many reservations each. */
  static ReservationDifference between(
      Map<String, ReservationAmounts> stored,
      Map<String, ReservationAmounts> wanted,
      int reservations) {
    double difference = 0;
    double size = 0;
    for (Map.Entry<String, ReservationAmounts> entry : wanted.entrySet()) {
      ReservationAmounts storedThere = stored.get(entry.getKey());
      for (int i = 0; i < reservations; i++) {
        double weight = weight(entry.getValue().get(i));
        size += weight;
        difference += Math.abs(weight - (storedThere == null ? 0 : weight(storedThere.get(i))));
      }
    }
    for (Map.Entry<String, ReservationAmounts> entry : stored.entrySet()) {
      if (!wanted.containsKey(entry.getKey())) {
        difference +=
            IntStream.range(0, entry.getValue().size())
                .mapToDouble(i -> weight(entry.getValue().get(i)))
                .sum();
      }
    }
    return new ReservationDifference(difference, size);
  }

  private static double weight(Resources amount) {
    return amount.cpus() + amount.gpus() + amount.memGb();
  }

  boolean isNone() {
    return difference <= 0;
  }

  /** Whether the difference is more than this share of what is wanted. */
  boolean exceeds(double share) {
    return difference > share * wanted;
  }
}
