package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import java.util.List;

/**
 * What is reserved on one machine while a plan is made. Reservations are known by their index in
 * the list of {@link ReservationView#demands}.
 */
final class MachineReservation {
  private final List<ReservationView.ReservationDemand> demands;

  /** What the work of each reservation takes of the machine. */
  private final Resources[] used;

  /** What is reserved, used and not. */
  private final Resources[] reserved;

  /** What of it is free for that work, or will be once other attempts have ended. */
  private final Resources[] free;

  /** Is to be released: it stays reserved until the store holds the release. */
  private final boolean[] released;

  /**
   * Takes over what is reserved at present.
   *
   * @param before what is reserved; null if nothing is
   */
  MachineReservation(
      List<ReservationView.ReservationDemand> demands, Resources[] used, Resources[] before) {
    this.demands = demands;
    this.used = used;
    this.reserved = new Resources[demands.size()];
    this.free = new Resources[demands.size()];
    this.released = new boolean[demands.size()];
    for (int i = 0; i < free.length; i++) {
      reserved[i] = before == null ? used[i] : before[i].max(used[i]);
      free[i] = reserved[i].minus(used[i]);
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
    return !used[index].isZero();
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

  /** All that is to be reserved after this plan; null if that is nothing. */
  Resources[] totalReserved() {
    Resources[] total = new Resources[free.length];
    boolean any = false;
    for (int i = 0; i < total.length; i++) {
      total[i] = released[i] ? reserved[i].minus(free[i]) : reserved[i];
      any |= !total[i].isZero();
    }
    return any ? total : null;
  }
}
