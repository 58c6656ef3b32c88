package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import java.util.Arrays;
import java.util.List;

/** What is held on one machine while a plan is made, for each reservation. */
final class MachineReservation {
  private final List<ReservationView.ReservationDemand> demands;

  /** What their work takes there. */
  private final Resources[] used;

  /** What is held, used and not. */
  private final Resources[] reserved;

  /** What of it is free for them, or is to be once others have ended. */
  private final Resources[] free;

  /** Is to be given up: until the store says so it is still kept from others. */
  private final boolean[] released;

  MachineReservation(
      List<ReservationView.ReservationDemand> terms, Resources[] used, Resources[] before) {
    this.demands = terms;
    this.used = used;
    this.reserved = new Resources[terms.size()];
    this.free = new Resources[terms.size()];
    this.released = new boolean[terms.size()];
    for (int i = 0; i < free.length; i++) {
      reserved[i] = before == null ? used[i] : before[i].max(used[i]);
      free[i] = reserved[i].minus(used[i]);
    }
  }

  /** What such a job may not have of the machine, free as it may be. */
  Resources reservedAgainst(JobSpec job) {
    Resources kept = Resources.ZERO;
    for (int i = 0; i < free.length; i++) {
      if (!free[i].isZero() && !demands.get(i).reservation().serves(job)) {
        kept = kept.plus(free[i], 1);
      }
    }
    return kept;
  }

  /** Room for such tasks is claimed. */
  void allocate(JobSpec job, int tasks) {
    for (int i = 0; i < free.length; i++) {
      if (demands.get(i).reservation().serves(job)) {
        free[i] = free[i].minus(Resources.ZERO.plus(Resources.of(job), tasks));
      }
    }
  }

  Resources free(int term) {
    return free[term];
  }

  boolean inUse(int term) {
    return !used[term].isZero();
  }

  /** Holds room for so many more tasks. */
  void extend(int term, Resources unit, int by) {
    free[term] = free[term].plus(unit, by);
    reserved[term] = reserved[term].plus(unit, by);
  }

  void release(int term) {
    released[term] = true;
  }

  /** All that is to be held, or null if that is nothing. */
  Resources[] totalReserved() {
    Resources[] out = new Resources[free.length];
    boolean any = false;
    for (int i = 0; i < out.length; i++) {
      out[i] = released[i] ? reserved[i].minus(free[i]) : reserved[i];
      any |= !out[i].isZero();
    }
    return any ? out : null;
  }

  static Resources[] none(int terms) {
    Resources[] out = new Resources[terms];
    Arrays.fill(out, Resources.ZERO);
    return out;
  }
}
