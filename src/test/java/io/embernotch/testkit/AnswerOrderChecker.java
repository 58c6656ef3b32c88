package io.embernotch.testkit;

import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the answers that users got about one job for linearizability. A job's state only moves
 * forward: it is unknown, then accepted, then ended, and the count of its done tasks does not fall.
 * So an answer is wrong only if another one that was <em>received before its request was sent</em>
 * gave a later state; answers whose times overlap may come in any order.
 */
final class AnswerOrderChecker {
  /** How far a job has come. */
  enum Stage {
    UNKNOWN,
    ACCEPTED,
    ENDED
  }

  /**
   * The state that one answer gives.
   *
   * @param done done tasks while the job has not ended; {@link Integer#MAX_VALUE} if the answer has
   *     no count, which so is never too low
   */
  record State(Stage stage, int done) implements Comparable<State> {
    @Override
    public int compareTo(State other) {
      int byStage = stage.compareTo(other.stage);
      return byStage != 0 ? byStage : Integer.compare(done, other.done);
    }
  }

  private final TreeMap<State, Double> receivedAt = new TreeMap<>();

  /** A later state that was received by {@code sentAt}; null if there is none. */
  State contradictedBy(State answered, double sentAt) {
    for (Map.Entry<State, Double> later : receivedAt.tailMap(answered, false).entrySet()) {
      if (later.getValue() <= sentAt) {
        return later.getKey();
      }
    }
    return null;
  }

  /** Notes the state that an answer gave. */
  void received(State answered, double now) {
    boolean counted = answered.done != Integer.MAX_VALUE;
    receivedAt.putIfAbsent(counted ? answered : new State(answered.stage, 0), now);
  }
}
