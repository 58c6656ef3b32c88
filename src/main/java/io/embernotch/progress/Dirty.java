package io.embernotch.progress;

import io.embernotch.store.Pacer.Rank;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A piece of a job that differs from what the store is known to hold. */
final class Dirty {
  /** Somebody who waits for a task's change to be in the store. */
  record Waiter(int task, Runnable durable) {}

  final Layout.Piece piece;
  /** Its tasks that differ; what concerns the job as a whole goes with task 0. */
  final BitSet tasks = new BitSet();
  Rank rank;
  double due;
  /** When somebody first began to wait for it, below 0 if nobody does. */
  double awaitedSince = -1;
  List<Waiter> waiters = new ArrayList<>();
  /** The store refused a transaction with it: it goes alone until that is explained. */
  boolean suspect;

  Dirty(Layout.Piece piece, Rank rank, double due) {
    this.piece = piece;
    this.rank = rank;
    this.due = due;
  }

  void hurry(Rank to, double by) {
    rank = to.compareTo(rank) < 0 ? to : rank;
    due = Math.min(due, by);
  }
}
