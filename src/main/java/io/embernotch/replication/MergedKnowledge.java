package io.embernotch.replication;

import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.settings.Settings;
import io.embernotch.snapshot.SnapshotMerge;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.util.List;
import java.util.Optional;

/**
 * The merged knowledge of several controllers about contents that the store has lost. It depends
 * only on the messages that are merged.
 *
 * @param state all jobs with their progress; marked as incomplete
 * @param highestEpoch highest leader epoch that any of the controllers has observed
 * @param incarnations names of the store incarnations that the other controllers knew; the next
 *     incarnation names all of them as its predecessors
 * @param allAnswered whether every other controller has answered
 * @param lastTermLedElsewhere whether another controller may have led the last term and still holds
 *     its state
 */
public record MergedKnowledge(
    ClusterSnapshot state,
    long highestEpoch,
    List<String> incarnations,
    boolean allAnswered,
    boolean lastTermLedElsewhere) {
  private static final double MS_PER_S = 1000;

  /**
   * Merges what this controller knows with what the other controllers know.
   *
   * @param others the answers of the other controllers; an empty element for each that did not
   *     answer
   */
  public static MergedKnowledge of(Knowledge own, List<Optional<Knowledge>> others) {
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
    return new MergedKnowledge(
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
   * A term that has ended.
   *
   * @param node name of the controller that led the term
   * @param epoch epoch of the term
   * @param ageS seconds since the term began
   * @param leaseUnprovenS seconds since that controller's lease was last known to be valid
   */
  public record EndedTerm(String node, long epoch, double ageS, double leaseUnprovenS) {}

  /**
   * Whether the answers prove that no other term followed an ended one: each other controller has
   * been up since before a later term could have begun, and has observed none. Epochs may repeat
   * after a loss of data, so an equal epoch that was observed before the term began, or with
   * another node, belongs to another term.
   *
   * @param others the answers of the other controllers; an empty element, for one that did not
   *     answer, proves nothing
   */
  public static boolean isProvenLastTerm(EndedTerm term, List<Optional<Knowledge>> others) {
    return others.stream()
        .allMatch(other -> other.isPresent() && confirmsLastTerm(term, other.get()));
  }

  private static boolean confirmsLastTerm(EndedTerm term, Knowledge other) {
    boolean observedNoLaterTerm =
        other.getHighestEpoch() < term.epoch()
            || (other.getHighestEpoch() == term.epoch()
                && other.getHighestNode().equals(term.node())
                && other.getHighestSeenMs() <= peerClockUpperBoundMs(term.ageS()));
    return observedNoLaterTerm && other.getUpMs() > peerClockUpperBoundMs(term.leaseUnprovenS());
  }

  /**
   * Upper bound, in milliseconds, of what another controller's steady clock measures while this
   * controller's measures {@code seconds}.
   */
  private static double peerClockUpperBoundMs(double seconds) {
    return seconds * (1 + 2 * Settings.DRIFT) * MS_PER_S;
  }
}
