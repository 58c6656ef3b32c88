package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import java.util.List;
import java.util.Optional;

/**
 * The amounts reserved on one machine, as changed by the plan. Reservations are identified by their
 * index in {@link ReservationView#demands}.
 */
final class MachineReservation {
  private final List<ReservationView.ReservationDemand> demands;

  /** What the work of each reservation uses of the machine. */
  private final ReservationAmounts used;

  /** Amount reserved for each reservation, in use or free. */
  private final Resources[] reserved;

  /**
   * The part of {@link #reserved} that its work does not use; other attempts may still occupy it.
   */
  private final Resources[] free;

  /** Whether the free part is to be released; it stays reserved until the release is stored. */
  private final boolean[] released;

  /**
   * Starts from the amounts reserved before this plan; what is in use counts as reserved in any
   * case.
   */
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

  /** Free capacity on the machine that is reserved for other work than this job. */
  Resources reservedAgainst(JobSpec job) {
    Resources against = Resources.ZERO;
    for (int i = 0; i < free.length; i++) {
      if (!free[i].isZero() && !demands.get(i).reservation().serves(job)) {
        against = against.plus(free[i], 1);
      }
    }
    return against;
  }

  /**
   * Allocates capacity to tasks of a job; reduces the free part of the reservations that serve it.
   */
  void allocate(JobSpec job, int tasks) {
    for (int i = 0; i < free.length; i++) {
      if (demands.get(i).reservation().serves(job)) {
        free[i] = free[i].minus(Resources.ZERO.plus(Resources.of(job), tasks));
      }
    }
  }

  /** The free part of what is reserved. */
  Resources free(int index) {
    return free[index];
  }

  /** Whether work of the reservation runs on the machine. */
  boolean inUse(int index) {
    return !used.get(index).isZero();
  }

  /** Reserves capacity for {@code tasks} more tasks that use {@code unit} each. */
  void reserve(int index, Resources unit, int tasks) {
    free[index] = free[index].plus(unit, tasks);
    reserved[index] = reserved[index].plus(unit, tasks);
  }

  /** Marks the free part to be released after this plan. */
  void release(int index) {
    released[index] = true;
  }

  /** The amounts to be reserved after this plan; empty if all are zero. */
  Optional<ReservationAmounts> totalReserved() {
    Resources[] amounts = new Resources[free.length];
    for (int i = 0; i < amounts.length; i++) {
      amounts[i] = released[i] ? reserved[i].minus(free[i]) : reserved[i];
    }
    ReservationAmounts total = ReservationAmounts.of(amounts);
    return total.isZero() ? Optional.empty() : Optional.of(total);
  }
}
