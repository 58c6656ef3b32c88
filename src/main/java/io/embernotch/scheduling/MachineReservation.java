package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import java.util.Arrays;
import java.util.List;

/** What is held on one machine while a plan is made, for each reservation. */
final class MachineReservation {
  private final List<ReservationView.Term> terms;

  /** What their work takes there. */
  private final Resources[] used;

  /** What is held, used and not. */
  private final Resources[] held;

  /** What of it is free for them, or is to be once others have ended. */
  private final Resources[] free;

  /** Is to be given up: until the store says so it is still kept from others. */
  private final boolean[] given;

  MachineReservation(List<ReservationView.Term> terms, Resources[] used, Resources[] before) {
    this.terms = terms;
    this.used = used;
    this.held = new Resources[terms.size()];
    this.free = new Resources[terms.size()];
    this.given = new boolean[terms.size()];
    for (int i = 0; i < free.length; i++) {
      held[i] = before == null ? used[i] : before[i].max(used[i]);
      free[i] = held[i].less(used[i]);
    }
  }

  /** What such a job may not have of the machine, free as it may be. */
  Resources keptFrom(JobSpec job) {
    Resources kept = Resources.ZERO;
    for (int i = 0; i < free.length; i++) {
      if (!free[i].isZero() && !terms.get(i).terms().serves(job)) {
        kept = kept.plus(free[i], 1);
      }
    }
    return kept;
  }

  /** Room for such tasks is claimed. */
  void take(JobSpec job, int tasks) {
    for (int i = 0; i < free.length; i++) {
      if (terms.get(i).terms().serves(job)) {
        free[i] = free[i].less(Resources.ZERO.plus(Resources.of(job), tasks));
      }
    }
  }

  Resources free(int term) {
    return free[term];
  }

  boolean filled(int term) {
    return !used[term].isZero();
  }

  /** Holds room for so many more tasks. */
  void extend(int term, Resources unit, int by) {
    free[term] = free[term].plus(unit, by);
    held[term] = held[term].plus(unit, by);
  }

  void giveUp(int term) {
    given[term] = true;
  }

  /** All that is to be held, or null if that is nothing. */
  Resources[] total() {
    Resources[] out = new Resources[free.length];
    boolean any = false;
    for (int i = 0; i < out.length; i++) {
      out[i] = given[i] ? held[i].less(free[i]) : held[i];
      any |= !out[i].isZero();
    }
    return any ? out : null;
  }

  static Resources[] nothing(int terms) {
    Resources[] out = new Resources[terms];
    Arrays.fill(out, Resources.ZERO);
    return out;
  }
}
