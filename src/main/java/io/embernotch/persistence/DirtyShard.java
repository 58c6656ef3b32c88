package io.embernotch.persistence;

import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * A shard with changes that the store is not known to hold. Records the priority and due time of
 * its write, the actions that wait for the write, and the done marks that the store may hold
 * already.
 */
final class DirtyShard {
  /** The value of {@code waitingSince} while nothing waits for the write. */
  private static final double NO_WAITER = -1;

  /** Largest time by which a timer may fire early. */
  private static final double TIMER_TOLERANCE_S = 0.001;

  /** An action to run once the store holds the change of a task. */
  record Waiter(int task, Runnable action) {}

  private final ShardLayout.Shard shard;

  /** Numbers of the changed tasks; a change of the job as a whole counts as one of task 0. */
  private final BitSet tasks = new BitSet();

  private RequestPriority priority;

  /** When the shard is to be written, in seconds of the monotonic clock. */
  private double due;

  /** Start of the longest wait for the write, in seconds of the monotonic clock. */
  private double waitingSince = NO_WAITER;

  private List<Waiter> waiters = new ArrayList<>();

  /**
   * Whether the store rejected a transaction that contained this shard. A suspect shard is written
   * in a transaction of its own, to find out which shard the store rejects.
   */
  private boolean suspect;

  /** Done marks in the transaction in flight, by the task's number in the job. */
  private BitSet inFlightMarks = new BitSet();

  /** Done marks of transactions without an answer: the store may have applied them or may yet. */
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

  /** Delays the write, after the store has rejected this shard in a transaction of its own. */
  void postpone(double until) {
    due = until;
  }

  /** Raises the priority to at least {@code to} and moves the due time to {@code by} if earlier. */
  void expedite(RequestPriority to, double by) {
    priority = to.compareTo(priority) < 0 ? to : priority;
    due = Math.min(due, by);
  }

  /**
   * Raises background priority to normal if the shard has waited for spare write capacity for more
   * than {@code overdueS} seconds after its due time.
   */
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

  /** Records that a user or a service waits for the write from now on; keeps an earlier start. */
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

  /** Called when a transaction with the shard's present value is sent. */
  void onSent() {
    inFlightMarks = marksWithin(shard.job().done);
  }

  /**
   * Called when the transaction in flight was applied. A done mark is never removed, so this
   * transaction contained all marks of earlier ones.
   */
  void onStored() {
    shard.job().persistedDone.or(inFlightMarks);
    inFlightMarks = new BitSet();
    unknownMarks.clear();
  }

  /** Called when the store has not executed the transaction in flight and never will. */
  void onRefused() {
    inFlightMarks = new BitSet();
  }

  /** Called when the transaction in flight got no answer. */
  void onUnanswered() {
    unknownMarks.or(inFlightMarks);
    inFlightMarks = new BitSet();
  }

  /** Whether the store may hold done marks that it is not known to hold. */
  boolean hasUnknownMarks() {
    BitSet marks = (BitSet) unknownMarks.clone();
    marks.or(inFlightMarks);
    marks.andNot(shard.job().persistedDone);
    return !marks.isEmpty();
  }

  /** Merges the change of one task from the larger, pending shard that this one replaces. */
  void mergeTask(int task, DirtyShard larger) {
    expedite(larger.priority, larger.due);
    tasks.set(task);
    mergeUnknownMarks(larger);
    waitingSince = larger.waitingSince;
  }

  /** Merges an earlier instance of the same shard, whose transaction was not applied. */
  void mergeEarlier(DirtyShard earlier) {
    expedite(earlier.priority, earlier.due);
    waitingSince = earlier.isWaitedFor() ? earlier.waitingSince : waitingSince;
    tasks.or(earlier.tasks);
    mergeUnknownMarks(earlier);
    suspect |= earlier.suspect;
    List<Waiter> all = new ArrayList<>(earlier.waiters);
    all.addAll(waiters);
    waiters = all;
  }

  /** Merges the unknown done marks of an earlier instance of this shard, or of a larger shard. */
  private void mergeUnknownMarks(DirtyShard earlier) {
    unknownMarks.or(marksWithin(earlier.unknownMarks));
  }

  /** Returns the done marks of the job's tasks that belong to this shard. */
  private BitSet marksWithin(BitSet marks) {
    int end = shard.firstTask() + shard.size();
    BitSet own = (BitSet) marks.clone();
    own.clear(0, shard.firstTask());
    own.clear(end, Math.max(end, own.length()));
    return own;
  }
}
