package io.embernotch.scheduling;

import java.util.Arrays;

/**
 * Amounts on one machine, one for each reservation, by the index of the reservation in the current
 * list. Immutable.
 */
public final class ReservationAmounts {
  private final Resources[] amounts;

  private ReservationAmounts(Resources[] amounts) {
    this.amounts = amounts;
  }

  /** Zero for each of {@code reservations} reservations. */
  public static ReservationAmounts zeros(int reservations) {
    Resources[] zeros = new Resources[reservations];
    Arrays.fill(zeros, Resources.ZERO);
    return new ReservationAmounts(zeros);
  }

  /** Creates an instance with a copy of these amounts. */
  public static ReservationAmounts of(Resources... amounts) {
    return new ReservationAmounts(amounts.clone());
  }

  /** The number of reservations. */
  public int size() {
    return amounts.length;
  }

  /** The amount of one reservation. */
  public Resources get(int index) {
    return amounts[index];
  }

  /** A copy with another amount for one reservation. */
  public ReservationAmounts with(int index, Resources amount) {
    Resources[] changed = amounts.clone();
    changed[index] = amount;
    return new ReservationAmounts(changed);
  }

  /** The larger of both in each amount; both must have the same number of reservations. */
  public ReservationAmounts max(ReservationAmounts other) {
    Resources[] max = new Resources[amounts.length];
    for (int i = 0; i < max.length; i++) {
      max[i] = amounts[i].max(other.amounts[i]);
    }
    return new ReservationAmounts(max);
  }

  /** Subtracts the other's amounts; no amount becomes negative. */
  public ReservationAmounts minus(ReservationAmounts other) {
    Resources[] left = new Resources[amounts.length];
    for (int i = 0; i < left.length; i++) {
      left[i] = amounts[i].minus(other.amounts[i]);
    }
    return new ReservationAmounts(left);
  }

  /** The sum over all reservations. */
  public Resources total() {
    Resources total = Resources.ZERO;
    for (Resources amount : amounts) {
      total = total.plus(amount, 1);
    }
    return total;
  }

  /** Whether all amounts are zero, up to rounding. */
  public boolean isZero() {
    for (Resources amount : amounts) {
      if (!amount.isZero()) {
        return false;
      }
    }
    return true;
  }
}
