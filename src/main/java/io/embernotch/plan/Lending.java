package io.embernotch.plan;

import io.embernotch.model.Job;
import io.embernotch.model.Shape;
import java.util.Collection;
import java.util.List;

/**
 * Idle ordinary machines are kept for gangs that may come. Part of them is lent to tasks that end
 * sooner than a machine of their own would boot: they would wait for all of that time, while the
 * machines that are kept are paid for and do nothing.
 */
final class Lending {
  /** What is kept in any case. */
  private static final double KEPT = 0.5;

  private int left;
  private int lent;

  Lending(Slots slots, Collection<Fleet.Headroom> headroom, List<Job> waiting) {
    int idle = 0;
    double kept = 0;
    double waited = 0;
    Slot sample = null;
    for (Slot s : slots.all()) {
      if (isIdle(s)) {
        idle++;
        sample = s;
      } else if (isOnLoan(s)) {
        lent++;
      }
    }
    if (sample == null) {
      return;
    }
    for (Fleet.Headroom h : headroom) {
      if (h.like().shape() == Shape.GANG) {
        kept += (double) h.count() / Math.max(1, sample.count(h.like(), false));
      }
    }
    for (Job j : waiting) {
      if (j.spec.shape() == Shape.GANG) {
        waited += (double) j.spec.tasks() / Math.max(1, sample.count(j.spec, false));
      }
    }
    // Never more than that share: arrays must not keep machines that would be returned.
    left = (int) Math.max(0, Math.min(idle - Math.ceil(waited + KEPT * kept), (1 - KEPT) * kept - lent));
  }

  private static boolean isIdle(Slot s) {
    return s.kind == Slot.Kind.READY && !s.spot && !s.claimed && s.machine.open.isEmpty();
  }

  private static boolean isOnLoan(Slot s) {
    return s.kind == Slot.Kind.READY && !s.spot && !s.pinned && !s.machine.open.isEmpty();
  }

  /** One more of the machines that are kept may be lent. */
  boolean lends(Slot s) {
    return left > 0 && isIdle(s);
  }

  void lend() {
    left--;
    lent++;
  }

  boolean any() {
    return left > 0;
  }

  /** Of the room to be kept for such tasks, what machines that are lent will give back in time. */
  int comingBack(Fleet.Headroom h) {
    return h.like().shape() == Shape.GANG ? (int) Math.min((1 - KEPT) * h.count(), lent) : 0;
  }
}
