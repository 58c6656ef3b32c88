package io.embernotch.persistence;

import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * A shard of a job that differs from what the store is known to hold: how urgently it is to be
 * written, who waits for that, and which done marks the store may hold already.
 */
final class DirtyShard {
  /** The value of {@code waitingSince} while nobody waits. */
  private static final double NOT_WAITED_FOR = -1;

  /** Timers may fire early by so much. */
  private static final double TIMER_TOLERANCE_S = 0.001;

  /** An action that runs once a task's change is in the store. */
  record Waiter(int task, Runnable action) {}

  private final ShardLayout.Shard shard;

  /** Its tasks that differ; what concerns the job as a whole goes with task 0. */
  private final BitSet tasks = new BitSet();

  private RequestPriority priority;

  /** When it is to be written, in seconds of the steady clock. */
  private double due;

  /** When somebody first began to wait for it. */
  private double waitingSince = NOT_WAITED_FOR;

  private List<Waiter> waiters = new ArrayList<>();

  /** The store rejected a transaction with it: it goes alone until that is explained. */
  private boolean suspect;

  /** Done marks that the last transaction carries, by the task's number in the job. */
  private BitSet inFlightMarks = new BitSet();

  /**
   * Those that a transaction without an answer carried: it may have been applied, or be applied
   * yet.
   */
  private final BitSet unknownMarks = new BitSet();

  DirtyShard(ShardLayout.Shard shard, RequestPriority priority, double due) {
    this.shard = shard;
    this.priority = priority;
    this.due = due;
  }

  ShardLayout.Shard shard() {
    return shard;
  }

  BitSet tasks() {
    return tasks;
  }

  RequestPriority priority() {
    return priority;
  }

  double due() {
    return due;
  }

  boolean isDue(double now) {
    return due <= now + TIMER_TOLERANCE_S;
  }

  /** Moves it to a later time, after the store rejected it alone. */
  void postpone(double until) {
    due = until;
  }

  /** Writes it as urgently as {@code to} and as soon as {@code by}, if that is sooner. */
  void expedite(RequestPriority to, double by) {
    priority = to.compareTo(priority) < 0 ? to : priority;
    due = Math.min(due, by);
  }

  /** Raises the priority of one that has waited for spare capacity too long. */
  void promoteIfOverdue(double now, double overdueS) {
    if (priority == RequestPriority.BACKGROUND && now - due > overdueS) {
      priority = RequestPriority.NORMAL;
    }
  }

  void addTask(int task) {
    tasks.set(task);
  }

  List<Waiter> waiters() {
    return waiters;
  }

  void addWaiter(int task, Runnable action) {
    waiters.add(new Waiter(task, action));
  }

  /** Notes that a user or a service waits for it from now on, if none did. */
  void startWaiting(double now) {
    waitingSince = isWaitedFor() ? waitingSince : now;
  }

  boolean isWaitedFor() {
    return waitingSince >= 0;
  }

  double waitingSince() {
    return waitingSince;
  }

  boolean isSuspect() {
    return suspect;
  }

  void markSuspect() {
    suspect = true;
  }

  /** A transaction with the shard as it is now is sent. */
  void sent() {
    inFlightMarks = marksWithin(shard.job().done);
  }

  /**
   * The transaction was applied. Done marks are never taken back, so it carried all that those
   * before it did.
   */
  void stored() {
    shard.job().persistedDone.or(inFlightMarks);
    inFlightMarks = new BitSet();
    unknownMarks.clear();
  }

  /** The transaction was not executed, and never will be. */
  void refused() {
    inFlightMarks = new BitSet();
  }

  /** The transaction got no answer. */
  void unanswered() {
    unknownMarks.or(inFlightMarks);
    inFlightMarks = new BitSet();
  }

  /** The store may hold done marks that it is not known to hold. */
  boolean mayBeStored() {
    BitSet marks = (BitSet) unknownMarks.clone();
    marks.or(inFlightMarks);
    marks.andNot(shard.job().persistedDone);
    return !marks.isEmpty();
  }

  /** Takes over one task of a larger shard of the same job, which was to be written before. */
  void takeOverTask(int task, DirtyShard larger) {
    expedite(larger.priority, larger.due);
    tasks.set(task);
    takeOverUnknownMarks(larger);
    waitingSince = larger.waitingSince;
  }

  /** Takes over all of the same shard, which was to be written before this one was marked. */
  void takeOver(DirtyShard former) {
    expedite(former.priority, former.due);
    waitingSince = former.isWaitedFor() ? former.waitingSince : waitingSince;
    tasks.or(former.tasks);
    takeOverUnknownMarks(former);
    suspect |= former.suspect;
    List<Waiter> all = new ArrayList<>(former.waiters);
    all.addAll(waiters);
    waiters = all;
  }

  /** Takes over what the store may hold of the same shard, or of a larger one. */
  private void takeOverUnknownMarks(DirtyShard former) {
    unknownMarks.or(marksWithin(former.unknownMarks));
  }

  /** Those of a job's done marks that are this shard's. */
  private BitSet marksWithin(BitSet marks) {
    int end = shard.firstTask() + shard.size();
    BitSet own = (BitSet) marks.clone();
    own.clear(0, shard.firstTask());
    own.clear(end, Math.max(end, own.length()));
    return own;
  }
}
