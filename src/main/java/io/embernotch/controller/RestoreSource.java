package io.embernotch.controller;

import io.embernotch.api.JobAnswers;
import io.embernotch.context.ControllerContext;
import io.embernotch.controller.LocalLeader.FormerTerm;
import io.embernotch.election.LeaderObserver;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.incarnation.StoreRestorer;
import io.embernotch.replication.JoinedKnowledge;
import io.embernotch.replication.KnowledgeCollector;
import io.embernotch.replication.LocalKnowledge;
import io.embernotch.replication.StoreReplica;
import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.snapshot.SnapshotMerge;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.snapshot.file.SnapshotScheduler;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.state.ClusterState.EndedJob;
import io.vertx.core.Future;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * What a store that has lost data can be restored from: the last term that was led here, the
 * replica, what was told of jobs, the same of all controllers that answer, and snapshot files.
 */
final class RestoreSource implements StoreRestorer.Source, LocalKnowledge {
  private static final double MS_PER_S = 1000;

  private final ControllerContext context;
  private final LocalLeader localLeader;
  private final LeaderObserver leaderObserver;
  private final SnapshotScheduler snapshots;
  private final StoreReplica replica;
  private final Supplier<JobAnswers> answers;
  private final Supplier<StoreIncarnationTracker> incarnations;
  private final Supplier<KnowledgeCollector> collector;
  private final double startedAt;

  /** Suppliers are of what is assembled later; they are asked only after that. */
  RestoreSource(
      ControllerContext context,
      LocalLeader localLeader,
      LeaderObserver leaderObserver,
      SnapshotScheduler snapshots,
      StoreReplica replica,
      Supplier<JobAnswers> answers,
      Supplier<StoreIncarnationTracker> incarnations,
      Supplier<KnowledgeCollector> collector) {
    this.context = context;
    this.localLeader = localLeader;
    this.leaderObserver = leaderObserver;
    this.snapshots = snapshots;
    this.replica = replica;
    this.answers = answers;
    this.incarnations = incarnations;
    this.collector = collector;
    this.startedAt = context.clock().now();
  }

  @Override
  public Optional<ClusterSnapshot> lastLeaderState(double noticedAt) {
    return notSuperseded()
        .filter(former -> former.provenUntil() >= noticedAt)
        .flatMap(RestoreSource::stateOf);
  }

  @Override
  public Future<StoreRestorer.RestorableState> gather(long lossEpoch) {
    return collector
        .get()
        .collect(lossEpoch)
        .map(
            others -> {
              JoinedKnowledge joined = JoinedKnowledge.of(knowledge(), others);
              return notSuperseded()
                  .filter(former -> JoinedKnowledge.provesLast(termOf(former), others))
                  .flatMap(RestoreSource::stateOf)
                  .map(
                      state ->
                          new StoreRestorer.RestorableState(
                              SnapshotMerge.supplemented(state, joined.state()), true, false))
                  .orElseGet(
                      () ->
                          new StoreRestorer.RestorableState(
                              joined.state(),
                              false,
                              !joined.allAnswered() || joined.ledElsewhere()));
            });
  }

  @Override
  public ClusterSnapshot newestStoredSnapshot() {
    return snapshots.newest();
  }

  @Override
  public Knowledge knowledge() {
    Optional<ClusterSnapshot> led = localLeader.former().flatMap(RestoreSource::stateOf);
    ClusterSnapshot replicated = replica.snapshot();
    Knowledge.Builder knowledge =
        Knowledge.newBuilder()
            .setUpMs((long) ((context.clock().now() - startedAt) * MS_PER_S))
            .setHighestEpoch(leaderObserver.highestEpoch())
            .setHighestSeenMs((long) (leaderObserver.highestSeenForS() * MS_PER_S))
            .setLedEpoch(led.map(ClusterSnapshot::getEpoch).orElse(0L))
            .setState(led.map(state -> SnapshotMerge.of(state, replicated)).orElse(replicated));
    if (leaderObserver.highestNode() != null) {
      knowledge.setHighestNode(leaderObserver.highestNode());
    }
    answers
        .get()
        .ends()
        .forEach(
            (ref, phase) ->
                knowledge.addTold(StateSnapshot.endedJob(ref, new EndedJob(phase, 0, 0, 0))));
    return knowledge.build();
  }

  @Override
  public boolean lossHeard(String node, long lossEpoch) {
    return incarnations.get().lossNews().lossHeard(node, lossEpoch);
  }

  @Override
  public void lossIsOver() {
    incarnations.get().lossNews().lossIsOver();
  }

  /** The last term that was led here, unless a later one is known. */
  private Optional<FormerTerm> notSuperseded() {
    return localLeader
        .former()
        .filter(former -> former.leader().epoch() >= leaderObserver.highestEpoch());
  }

  private JoinedKnowledge.EndedTerm termOf(FormerTerm former) {
    double now = context.clock().now();
    return new JoinedKnowledge.EndedTerm(
        context.settings().node(),
        former.leader().epoch(),
        now - former.claimedAt(),
        now - former.provenUntil());
  }

  /** What the leader of a term knew; empty if it had not read the store yet. */
  private static Optional<ClusterSnapshot> stateOf(FormerTerm former) {
    return Optional.ofNullable(former.leader().snapshot());
  }
}
