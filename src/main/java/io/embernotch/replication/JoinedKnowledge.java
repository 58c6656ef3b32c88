package io.embernotch.replication;

import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.settings.Settings;
import io.embernotch.snapshot.SnapshotMerge;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.util.List;
import java.util.Optional;

/**
 * What several controllers know of the contents that the store has lost, put together. A pure
 * function of what each of them tells.
 *
 * @param state all jobs with their progress; not complete
 * @param highestEpoch highest epoch of a leader that any of them has seen or heard of
 * @param incarnations names of the store incarnations that the others knew: the next one is made of
 *     all of them
 * @param allAnswered whether every controller has told what it knows
 * @param ledElsewhere whether another controller may have led last and still have that state
 */
public record JoinedKnowledge(
    ClusterSnapshot state,
    long highestEpoch,
    List<String> incarnations,
    boolean allAnswered,
    boolean ledElsewhere) {
  private static final double MS_PER_S = 1000;

  /**
   * Joins what this controller knows with what the others know.
   *
   * @param others what the others know; one empty element for each that has not answered
   */
  public static JoinedKnowledge of(Knowledge own, List<Optional<Knowledge>> others) {
    ClusterSnapshot state = ClusterSnapshot.newBuilder().setComplete(false).build();
    state = SnapshotMerge.of(state, own.getState());
    long highestEpoch = own.getHighestEpoch();
    long ledEpoch = 0;
    for (Knowledge other : others.stream().flatMap(Optional::stream).toList()) {
      state = SnapshotMerge.of(state, other.getState());
      highestEpoch = Math.max(highestEpoch, other.getHighestEpoch());
      ledEpoch = Math.max(ledEpoch, other.getLedEpoch());
    }
    state = SnapshotMerge.withEnds(state, own.getToldList());
    for (Knowledge other : others.stream().flatMap(Optional::stream).toList()) {
      state = SnapshotMerge.withEnds(state, other.getToldList());
    }
    return new JoinedKnowledge(
        state,
        highestEpoch,
        others.stream()
            .flatMap(Optional::stream)
            .map(Knowledge::getIncarnation)
            .filter(name -> !name.isEmpty())
            .distinct()
            .toList(),
        others.stream().allMatch(Optional::isPresent),
        ledEpoch > 0 && ledEpoch >= highestEpoch);
  }

  /**
   * A term that a controller has led.
   *
   * @param node the controller
   * @param epoch epoch of the term
   * @param ageS seconds since it began
   * @param unprovenS seconds since its lease could last be proven
   */
  public record EndedTerm(String node, long epoch, double ageS, double unprovenS) {}

  /**
   * Whether the others prove that nobody has led after a term: each of them has been up since
   * before that term could have been followed by another one, and has seen no later one. An epoch
   * may come again after a loss: one that was seen before the term began is of another term.
   */
  public static boolean provesLast(EndedTerm term, List<Optional<Knowledge>> others) {
    return others.stream().allMatch(other -> other.isPresent() && provesLast(term, other.get()));
  }

  private static boolean provesLast(EndedTerm term, Knowledge other) {
    boolean sawNoOther =
        other.getHighestEpoch() < term.epoch()
            || (other.getHighestEpoch() == term.epoch()
                && other.getHighestNode().equals(term.node())
                && other.getHighestSeenMs() <= atMostMs(term.ageS()));
    return sawNoOther && other.getUpMs() > atMostMs(term.unprovenS());
  }

  /** At most so many milliseconds have gone by on another controller's clock. */
  private static double atMostMs(double seconds) {
    return seconds * (1 + 2 * Settings.DRIFT) * MS_PER_S;
  }
}
