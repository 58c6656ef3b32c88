package io.embernotch.persistence;

import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A shard of a job that differs from what the store is known to hold. */
final class DirtyShard {
  /** Somebody who waits for a task's change to be in the store. */
  record Waiter(int task, Runnable durable) {}

  final ShardLayout.Shard shard;

  /** Its tasks that differ; what concerns the job as a whole goes with task 0. */
  final BitSet tasks = new BitSet();

  RequestPriority priority;
  double due;

  /** When somebody first began to wait for it, below 0 if nobody does. */
  double waitingSince = -1;

  List<Waiter> waiters = new ArrayList<>();

  /** The store refused a transaction with it: it goes alone until that is explained. */
  boolean suspect;

  /** Done marks that the last transaction carries, by the task's number in the job. */
  private BitSet underWay = new BitSet();

  /**
   * Those that a transaction without an answer carried: it may have been applied, or be applied
   * yet.
   */
  private final BitSet unknown = new BitSet();

  DirtyShard(ShardLayout.Shard shard, RequestPriority priority, double due) {
    this.shard = shard;
    this.priority = priority;
    this.due = due;
  }

  /** A transaction with the shard as it is now leaves. */
  void sent() {
    underWay = within(shard.job().done);
  }

  /**
   * The transaction was applied. Done marks are never taken back, so it carried all that those
   * before it did.
   */
  void stored() {
    shard.job().persistedDone.or(underWay);
    underWay = new BitSet();
    unknown.clear();
  }

  /** The transaction was not carried out, and never will be. */
  void refused() {
    underWay = new BitSet();
  }

  /** The transaction got no answer. */
  void unanswered() {
    unknown.or(underWay);
    underWay = new BitSet();
  }

  /**
   * The same shard, or a larger one, was marked before: takes over what the store may hold of it.
   */
  void supersedes(DirtyShard former) {
    unknown.or(within(former.unknown));
  }

  /** The store may hold done marks that it is not known to hold. */
  boolean mayBeStored() {
    BitSet marks = (BitSet) unknown.clone();
    marks.or(underWay);
    marks.andNot(shard.job().persistedDone);
    return !marks.isEmpty();
  }

  private BitSet within(BitSet marks) {
    int end = shard.from() + shard.size();
    BitSet ours = (BitSet) marks.clone();
    ours.clear(0, shard.from());
    ours.clear(end, Math.max(end, ours.length()));
    return ours;
  }

  void expedite(RequestPriority to, double by) {
    priority = to.compareTo(priority) < 0 ? to : priority;
    due = Math.min(due, by);
  }
}
