package io.embernotch.replication;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.embernotch.replication.MergedKnowledge.EndedTerm;
import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.End;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.OpenAttemptSnapshot;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Merging what controllers know about lost contents, and what it proves about the last term. */
class MergedKnowledgeTest {
  /** A term of c0 that began 20 s ago; its lease was last known to be valid 5 s ago. */
  private static final EndedTerm TERM = new EndedTerm("c0", 7, 20, 5);

  private static final Optional<Knowledge> NO_ANSWER = Optional.empty();

  private static Knowledge knowledge(long highestEpoch, long ledEpoch) {
    return Knowledge.newBuilder().setHighestEpoch(highestEpoch).setLedEpoch(ledEpoch).build();
  }

  /** The answer of a controller that observed the beginning of the term. */
  private static Knowledge.Builder observerOfTerm() {
    return Knowledge.newBuilder()
        .setUpMs(60_000)
        .setHighestEpoch(7)
        .setHighestNode("c0")
        .setHighestSeenMs(19_000);
  }

  private static boolean provesTermLast(Knowledge.Builder other) {
    return MergedKnowledge.isProvenLastTerm(TERM, List.of(Optional.of(other.build())));
  }

  private static EndedJobSnapshot cancelled(String ref) {
    return EndedJobSnapshot.newBuilder().setRef(ref).setEnd(End.CANCELLED).setAtMs(99).build();
  }

  private static JobSnapshot running(String ref) {
    return JobSnapshot.newBuilder()
        .setRef(ref)
        .setValue(ByteString.copyFromUtf8("{}"))
        .addOpen(OpenAttemptSnapshot.newBuilder().setTask(0).setNumber(1).setMachine("n-1"))
        .build();
  }

  private static Knowledge knowledgeWith(JobSnapshot job) {
    return Knowledge.newBuilder().setState(ClusterSnapshot.newBuilder().addJob(job)).build();
  }

  /** Guards against revoking an end that a user was told, since another replica is older. */
  @Test
  void endReportedByAnyControllerIsKept() {
    Knowledge reportedByOther =
        Knowledge.newBuilder().addTold(cancelled("j-1")).addTold(cancelled("j-3")).build();
    Knowledge own = knowledgeWith(running("j-1")).toBuilder().addTold(cancelled("j-2")).build();
    ClusterSnapshot joined =
        MergedKnowledge.of(
                own,
                List.of(Optional.of(reportedByOther), Optional.of(knowledgeWith(running("j-2")))))
            .state();
    assertThat(joined.getJobList()).extracting(JobSnapshot::getRef).containsExactly("j-1", "j-2");
    assertThat(joined.getJobList()).extracting(JobSnapshot::getEnd).containsOnly(End.CANCELLED);
    assertThat(joined.getJobList()).allMatch(job -> job.getOpenCount() == 1);
    assertThat(joined.getEndedList()).containsExactly(cancelled("j-3"));
    assertThat(joined.getComplete()).isFalse();
  }

  /** Guards against a restore that ignores a controller without an answer. */
  @Test
  void allAnsweredOnlyIfNoAnswerIsMissing() {
    Knowledge own = knowledge(7, 0);
    Optional<Knowledge> other = Optional.of(knowledge(7, 0));
    assertThat(MergedKnowledge.of(own, List.of(other, other)).allAnswered()).isTrue();
    assertThat(MergedKnowledge.of(own, List.of(other, NO_ANSWER)).allAnswered()).isFalse();
    assertThat(MergedKnowledge.of(own, List.of()).allAnswered()).isTrue();
  }

  /** Guards against a restore from replicas while the last leader still holds its state. */
  @Test
  void anotherControllerLedLastIfItsTermIsHighestObserved() {
    assertThat(lastTermLedElsewhere(knowledge(7, 0), knowledge(7, 7))).isTrue();
    assertThat(lastTermLedElsewhere(knowledge(6, 0), knowledge(6, 7))).isTrue();
    assertThat(lastTermLedElsewhere(knowledge(8, 0), knowledge(7, 7))).isFalse();
    assertThat(lastTermLedElsewhere(knowledge(7, 7), knowledge(7, 0))).isFalse();
    assertThat(lastTermLedElsewhere(knowledge(0, 0), knowledge(0, 0))).isFalse();
  }

  /** Guards against waiting for a former leader when a third controller observed a later term. */
  @Test
  void termIsNotLastIfThirdControllerObservedLaterOne() {
    assertThat(lastTermLedElsewhere(knowledge(7, 0), knowledge(7, 7), knowledge(8, 0))).isFalse();
  }

  private static boolean lastTermLedElsewhere(Knowledge own, Knowledge... others) {
    return MergedKnowledge.of(own, List.of(others).stream().map(Optional::of).toList())
        .lastTermLedElsewhere();
  }

  /** Guards against the last leader never restoring the store from its own state. */
  @Test
  void termIsProvenLastIfNobodyObservedLaterOne() {
    assertThat(provesTermLast(observerOfTerm())).isTrue();
    assertThat(provesTermLast(observerOfTerm().setHighestEpoch(6).setHighestNode("c2"))).isTrue();
    assertThat(MergedKnowledge.isProvenLastTerm(TERM, List.of())).isTrue();
  }

  /** Guards against a later leader that only a controller without an answer knows of. */
  @Test
  void missingAnswerProvesNothing() {
    assertThat(
            MergedKnowledge.isProvenLastTerm(
                TERM, List.of(Optional.of(observerOfTerm().build()), NO_ANSWER)))
        .isFalse();
  }

  /** Guards against a later leader whose process was restarted and no longer knows its term. */
  @Test
  void controllerStartedAfterLeaseWasLastValidProvesNothing() {
    assertThat(provesTermLast(observerOfTerm().setUpMs(4_999))).isFalse();
    assertThat(provesTermLast(observerOfTerm().setUpMs(5_000))).isFalse();
  }

  /** Guards against restoring from a term that was followed by another one. */
  @Test
  void laterEpochShowsThatTermWasNotLast() {
    assertThat(provesTermLast(observerOfTerm().setHighestEpoch(8))).isFalse();
  }

  /** Guards against an epoch that was used again after a loss of data. */
  @Test
  void equalEpochObservedEarlierOrOfAnotherNodeIsAnotherTerm() {
    assertThat(provesTermLast(observerOfTerm().setHighestSeenMs(21_000))).isFalse();
    assertThat(provesTermLast(observerOfTerm().setHighestNode("c2"))).isFalse();
  }
}
