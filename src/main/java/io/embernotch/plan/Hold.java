package io.embernotch.plan;

import io.embernotch.model.JobSpec;
import java.util.Arrays;
import java.util.List;

/** What is held on one machine while a plan is made, for each reservation. */
final class Hold {
  private final List<Holds.Term> terms;

  /** What their work takes there. */
  private final Amount[] used;

  /** What is held, used and not. */
  private final Amount[] held;

  /** What of it is free for them, or is to be once others have ended. */
  private final Amount[] free;

  /** Is to be given up: until the store says so it is still kept from others. */
  private final boolean[] given;

  Hold(List<Holds.Term> terms, Amount[] used, Amount[] before) {
    this.terms = terms;
    this.used = used;
    this.held = new Amount[terms.size()];
    this.free = new Amount[terms.size()];
    this.given = new boolean[terms.size()];
    for (int i = 0; i < free.length; i++) {
      held[i] = before == null ? used[i] : before[i].max(used[i]);
      free[i] = held[i].less(used[i]);
    }
  }

  /** What such a job may not have of the machine, free as it may be. */
  Amount keptFrom(JobSpec job) {
    Amount kept = Amount.ZERO;
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
        free[i] = free[i].less(Amount.ZERO.plus(Amount.of(job), tasks));
      }
    }
  }

  Amount free(int term) {
    return free[term];
  }

  boolean filled(int term) {
    return !used[term].isZero();
  }

  /** Holds room for so many more tasks. */
  void extend(int term, Amount unit, int by) {
    free[term] = free[term].plus(unit, by);
    held[term] = held[term].plus(unit, by);
  }

  void giveUp(int term) {
    given[term] = true;
  }

  /** All that is to be held, or null if that is nothing. */
  Amount[] total() {
    Amount[] out = new Amount[free.length];
    boolean any = false;
    for (int i = 0; i < out.length; i++) {
      out[i] = given[i] ? held[i].less(free[i]) : held[i];
      any |= !out[i].isZero();
    }
    return any ? out : null;
  }

  static Amount[] nothing(int terms) {
    Amount[] out = new Amount[terms];
    Arrays.fill(out, Amount.ZERO);
    return out;
  }
}
