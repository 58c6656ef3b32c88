package io.embernotch.controller;

import com.google.protobuf.ByteString;
import io.embernotch.api.JobAnswers;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.controller.LocalLeader.FormerTerm;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.forwarding.PendingRequests;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.incarnation.StoreRestorer;
import io.embernotch.incarnation.ToldIncarnation;
import io.embernotch.leader.Leader;
import io.embernotch.replication.JoinedKnowledge;
import io.embernotch.replication.KnowledgeCollector;
import io.embernotch.replication.LocalKnowledge;
import io.embernotch.replication.ReplicaBootstrap;
import io.embernotch.replication.StoreReplica;
import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.SnapshotMerge;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.snapshot.file.SnapshotScheduler;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.state.ClusterState.EndedJob;
import io.vertx.core.Future;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * What a store that has lost data can be restored from: the last term that was led here, the
 * replica, what was told of jobs, the same of all controllers that answer, and snapshot files.
 */
final class RestoreSource implements StoreRestorer.Source, LocalKnowledge {
  private static final double MS_PER_S = 1000;

  /** So often in a row an incarnation is replaced since it lacks what is known here. */
  private static final int MAX_MERGES = 3;

  private final ControllerContext context;
  private final LocalLeader localLeader;
  private final LeaderObserver leaderObserver;
  private final SnapshotScheduler snapshots;
  private final StoreReplica replica;
  private final Supplier<JobAnswers> answers;
  private final Supplier<StoreIncarnationTracker> incarnations;
  private final BooleanSupplier replicaFilled;
  private final KnowledgeCollector collector;
  private final ReplicaBootstrap bootstrap;
  private final double startedAt;

  /** What other controllers have told since the loss: they may have ended since. */
  private Knowledge learned = Knowledge.getDefaultInstance();

  private int mergesLeft = MAX_MERGES;

  /** Suppliers are of what is assembled later; they are asked only after that. */
  RestoreSource(
      ControllerContext context,
      LocalLeader localLeader,
      LeaderObserver leaderObserver,
      SnapshotScheduler snapshots,
      StoreReplica replica,
      PendingRequests pendingRequests,
      PeerLiveness peerLiveness,
      Supplier<JobAnswers> answers,
      Supplier<StoreIncarnationTracker> incarnations,
      BooleanSupplier replicaFilled) {
    this.context = context;
    this.localLeader = localLeader;
    this.leaderObserver = leaderObserver;
    this.snapshots = snapshots;
    this.replica = replica;
    this.answers = answers;
    this.incarnations = incarnations;
    this.collector = new KnowledgeCollector(context, pendingRequests, peerLiveness, this);
    this.bootstrap = new ReplicaBootstrap(context, collector);
    this.replicaFilled = replicaFilled;
    this.startedAt = context.clock().now();
  }

  /** What another controller has told of contents that were not read here yet. */
  ReplicaBootstrap bootstrap() {
    return bootstrap;
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
        .collect(lossEpoch)
        .map(
            others -> {
              others.stream().flatMap(Optional::stream).forEach(this::learn);
              JoinedKnowledge joined = JoinedKnowledge.of(knowledge(), others);
              return notSuperseded()
                  .filter(former -> JoinedKnowledge.provesLast(termOf(former), others))
                  .flatMap(RestoreSource::stateOf)
                  .map(state -> lastLeader(state, joined))
                  .orElseGet(() -> withoutLastLeader(joined));
            });
  }

  private static StoreRestorer.RestorableState lastLeader(
      ClusterSnapshot state, JoinedKnowledge joined) {
    return new StoreRestorer.RestorableState(
        SnapshotMerge.supplemented(state, joined.state()),
        true,
        joined.highestEpoch(),
        joined.incarnations(),
        false);
  }

  private static StoreRestorer.RestorableState withoutLastLeader(JoinedKnowledge joined) {
    return new StoreRestorer.RestorableState(
        joined.state(),
        false,
        joined.highestEpoch(),
        joined.incarnations(),
        !joined.allAnswered() || joined.ledElsewhere());
  }

  private void learn(Knowledge other) {
    learned = union(learned, other);
  }

  /** The jobs and ends that either of two controllers knows. */
  private static Knowledge union(Knowledge a, Knowledge b) {
    return Knowledge.newBuilder()
        .setState(SnapshotMerge.of(a.getState(), b.getState()))
        .addAllTold(ends(a, b))
        .build();
  }

  /** Of each job the end that either of two controllers has told. */
  private static Collection<EndedJobSnapshot> ends(Knowledge a, Knowledge b) {
    Map<String, EndedJobSnapshot> ends = new TreeMap<>();
    a.getToldList().forEach(end -> ends.put(end.getRef(), end));
    b.getToldList().forEach(end -> ends.putIfAbsent(end.getRef(), end));
    return ends.values();
  }

  /**
   * An incarnation has begun with this snapshot, perhaps without what is known here: then that is
   * kept, to be merged with it.
   *
   * @return whether it lacks a job, or the end of one, that is known here
   */
  boolean isMissingFrom(BaseSnapshot base) {
    Knowledge known = knowledge();
    learned = Knowledge.getDefaultInstance();
    boolean isTold = bootstrap.told().getIncarnation().equals(incarnations.get().name());
    if (!base.jobsMissing() || mergesLeft == 0 || isTold) {
      mergesLeft = MAX_MERGES;
      return false;
    }
    boolean missing =
        known.getToldList().stream().anyMatch(end -> !base.tellsEnd(end.getRef()))
            || known.getState().getEndedList().stream()
                .anyMatch(end -> !base.tellsEnd(end.getRef()))
            || known.getState().getJobList().stream().anyMatch(job -> !base.has(job.getRef()));
    if (missing) {
      mergesLeft--;
      learn(known);
    }
    return missing;
  }

  @Override
  public ClusterSnapshot newestStoredSnapshot() {
    return snapshots.newest();
  }

  @Override
  public Knowledge knowledge() {
    Optional<ClusterSnapshot> led = ledState();
    Knowledge.Builder knowledge =
        union(ownKnowledge(led), union(learned, bootstrap.told())).toBuilder()
            .setUpMs((long) ((context.clock().now() - startedAt) * MS_PER_S))
            .setIncarnation(incarnations.get().name())
            .setHighestEpoch(leaderObserver.highestEpoch())
            .setHighestSeenMs((long) (leaderObserver.highestSeenForS() * MS_PER_S))
            .setLedEpoch(led.map(ClusterSnapshot::getEpoch).orElse(0L));
    if (leaderObserver.highestNode() != null) {
      knowledge.setHighestNode(leaderObserver.highestNode());
    }
    addIncarnation(knowledge);
    return knowledge.build();
  }

  /** The state of the term that is led here or was led last; empty if it had not read the store. */
  private Optional<ClusterSnapshot> ledState() {
    return localLeader
        .current()
        .filter(Leader::isLoaded)
        .map(Leader::snapshot)
        .or(() -> localLeader.former().flatMap(RestoreSource::stateOf));
  }

  /** What this controller has led, replicated and told itself. */
  private Knowledge ownKnowledge(Optional<ClusterSnapshot> led) {
    ClusterSnapshot replicated = replica.snapshot();
    Knowledge.Builder own =
        Knowledge.newBuilder()
            .setState(led.map(state -> SnapshotMerge.of(state, replicated)).orElse(replicated));
    answers
        .get()
        .ends()
        .forEach(
            (ref, phase) -> own.addTold(StateSnapshot.endedJob(ref, new EndedJob(phase, 0, 0, 0))));
    return own.build();
  }

  private void addIncarnation(Knowledge.Builder knowledge) {
    ToldIncarnation told = incarnations.get().toldIncarnation();
    knowledge.setRevision(told.highestRevision());
    told.known()
        .ifPresent(
            incarnation ->
                knowledge
                    .setPointer(
                        ByteString.copyFrom(Json.bytes(IncarnationCodec.write(incarnation))))
                    .setPointerModRevision(incarnation.modRevision()));
  }

  @Override
  public boolean holdsContents() {
    return replicaFilled.getAsBoolean()
        || bootstrap.isTold()
        || localLeader.current().map(Leader::isLoaded).orElse(false)
        || localLeader.former().map(former -> former.leader().isLoaded()).orElse(false);
  }

  @Override
  public boolean lossHeard(String node, long lossEpoch) {
    return incarnations.get().lossNews().lossHeard(node, lossEpoch);
  }

  @Override
  public void lossIsOver() {
    incarnations.get().lossNews().lossIsOver();
  }

  /** The last term that was led here, unless a later one is known or must have been. */
  private Optional<FormerTerm> notSuperseded() {
    return localLeader
        .former()
        .filter(former -> former.leader().epoch() >= leaderObserver.highestEpoch())
        .filter(former -> !former.leader().hasLedPutBackContents());
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
