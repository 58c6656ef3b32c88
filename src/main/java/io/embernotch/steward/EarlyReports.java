package io.embernotch.steward;

import io.embernotch.model.WorkerReport;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * What workers report before the store is read. They are told to stay at once: an answer without a
 * token renews nothing and has nothing done, but its worker keeps the connection. While they were
 * kept waiting, a thousand workers gave up after four seconds, connected anew, and so took the time
 * that the reading needed.
 */
final class EarlyReports {
  /** Reports taken in one turn, so that everything else gets its own. */
  private static final int SLICE = 32;

  private final Map<String, WorkerReport> latest = new LinkedHashMap<>();

  void add(WorkerReport r) {
    latest.merge(r.machine(), r, (old, now) -> now.newerThan(old.session(), old.seq()) ? now : old);
  }

  /** Hands over the latest report of each machine, a slice a turn. */
  void drain(Executor loop, Consumer<WorkerReport> to) {
    ArrayDeque<WorkerReport> left = new ArrayDeque<>(latest.values());
    latest.clear();
    slice(left, loop, to);
  }

  private static void slice(ArrayDeque<WorkerReport> left, Executor loop, Consumer<WorkerReport> to) {
    for (int i = 0; i < SLICE && !left.isEmpty(); i++) {
      to.accept(left.poll());
    }
    if (!left.isEmpty()) {
      loop.execute(() -> slice(left, loop, to));
    }
  }
}
