package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import java.util.List;
import java.util.Optional;

/**
 * What is reserved on one machine while a plan is made. Reservations are known by their index in
 * the list of {@link ReservationView#demands}.
 */
final class MachineReservation {
  private final List<ReservationView.ReservationDemand> demands;

  /** What the work of each reservation takes of the machine. */
  private final ReservationAmounts used;

  /** What is reserved, used and not. */
  private final Resources[] reserved;

  /** What of it is free for that work, or will be once other attempts have ended. */
  private final Resources[] free;

  /** Is to be released: it stays reserved until the store holds the release. */
  private final boolean[] released;

  /** Takes over what is reserved at present; what is used is reserved in any case. */
  MachineReservation(
      List<ReservationView.ReservationDemand> demands,
      ReservationAmounts used,
      ReservationAmounts reservedBefore) {
    this.demands = demands;
    this.used = used;
    this.reserved = new Resources[demands.size()];
    this.free = new Resources[demands.size()];
    this.released = new boolean[demands.size()];
    for (int i = 0; i < free.length; i++) {
      reserved[i] = reservedBefore.get(i).max(used.get(i));
      free[i] = reserved[i].minus(used.get(i));
    }
  }

  /** What is reserved and free on the machine, but not for this job. */
  Resources reservedAgainst(JobSpec job) {
    Resources against = Resources.ZERO;
    for (int i = 0; i < free.length; i++) {
      if (!free[i].isZero() && !demands.get(i).reservation().serves(job)) {
        against = against.plus(free[i], 1);
      }
    }
    return against;
  }

  /** Takes capacity for tasks of a job, reserved capacity if some is for it. */
  void allocate(JobSpec job, int tasks) {
    for (int i = 0; i < free.length; i++) {
      if (demands.get(i).reservation().serves(job)) {
        free[i] = free[i].minus(Resources.ZERO.plus(Resources.of(job), tasks));
      }
    }
  }

  /** What is reserved and free. */
  Resources free(int index) {
    return free[index];
  }

  /** Whether work of the reservation runs on the machine. */
  boolean inUse(int index) {
    return !used.get(index).isZero();
  }

  /** Reserves capacity for so many more tasks of this size. */
  void extend(int index, Resources unit, int tasks) {
    free[index] = free[index].plus(unit, tasks);
    reserved[index] = reserved[index].plus(unit, tasks);
  }

  /** Has what is free released after this plan. */
  void release(int index) {
    released[index] = true;
  }

  /** All that is to be reserved after this plan; empty if that is nothing. */
  Optional<ReservationAmounts> totalReserved() {
    Resources[] amounts = new Resources[free.length];
    for (int i = 0; i < amounts.length; i++) {
      amounts[i] = released[i] ? reserved[i].minus(free[i]) : reserved[i];
    }
    ReservationAmounts total = ReservationAmounts.of(amounts);
    return total.isZero() ? Optional.empty() : Optional.of(total);
  }
}
