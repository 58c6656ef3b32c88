package io.embernotch.testkit;

import java.util.Map;
import java.util.TreeMap;

/**
 * The answers that users got about one job, held against linearizability. What is told of a job
 * only moves on: it is unknown, then accepted, then ended, and the count of its done tasks does not
 * fall. So an answer is wrong only if another one that was <em>received before its question was
 * sent</em> told a later state; answers whose times overlap may come in any order.
 */
final class AnswerOrderChecker {
  /** How far a job has come. */
  enum Stage {
    UNKNOWN,
    ACCEPTED,
    ENDED
  }

  /** What one answer tells; {@code done} counts done tasks while the job has not ended. */
  record State(Stage stage, int done) implements Comparable<State> {
    @Override
    public int compareTo(State other) {
      int byStage = stage.compareTo(other.stage);
      return byStage != 0 ? byStage : Integer.compare(done, other.done);
    }

    /** An answer that tells no count, and so is never too low. */
    static State accepted() {
      return new State(Stage.ACCEPTED, Integer.MAX_VALUE);
    }
  }

  private final TreeMap<State, Double> receivedAt = new TreeMap<>();

  /** A later state that was received by {@code sentAt}; null if there is none. */
  State contradictedBy(State told, double sentAt) {
    for (Map.Entry<State, Double> later : receivedAt.tailMap(told, false).entrySet()) {
      if (later.getValue() <= sentAt) {
        return later.getKey();
      }
    }
    return null;
  }

  /** Takes note of what an answer told. */
  void received(State told, double now) {
    State noted = told.done == Integer.MAX_VALUE ? new State(told.stage, 0) : told;
    receivedAt.putIfAbsent(noted, now);
  }
}
