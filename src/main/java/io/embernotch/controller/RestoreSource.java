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
import io.embernotch.incarnation.IncarnationExchange;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.incarnation.StoreRestorer;
import io.embernotch.leader.Leader;
import io.embernotch.replication.KnowledgeCollector;
import io.embernotch.replication.LocalKnowledge;
import io.embernotch.replication.MergedKnowledge;
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
 * Provides what the store is restored from after a loss of data: the state of this node's last
 * term, the replica, the final phases reported to users, the same knowledge of all other
 * controllers that answer, and snapshot files.
 */
final class RestoreSource implements StoreRestorer.Source, LocalKnowledge {
  private static final double MS_PER_S = 1000;

  /** Maximum number of consecutive incarnations that are replaced because they lack known jobs. */
  private static final int MAX_MERGES = 3;

  private final ControllerContext context;
  private final LocalLeader localLeader;
  private final LeaderObserver leaderObserver;
  private final SnapshotScheduler snapshotScheduler;
  private final StoreReplica replica;
  private final Supplier<JobAnswers> answers;
  private final Supplier<StoreIncarnationTracker> incarnations;
  private final BooleanSupplier isReplicaFilled;
  private final KnowledgeCollector collector;
  private final ReplicaBootstrap bootstrap;
  private final double startedAt;

  /**
   * Knowledge received from other controllers since the loss. It is kept because those controllers
   * may have stopped meanwhile.
   */
  private Knowledge receivedKnowledge = Knowledge.getDefaultInstance();

  private int mergesLeft = MAX_MERGES;

  /**
   * Creates a source. The suppliers provide components that are created after it, and are called
   * only once those exist.
   */
  RestoreSource(
      ControllerContext context,
      LocalLeader localLeader,
      LeaderObserver leaderObserver,
      SnapshotScheduler snapshotScheduler,
      StoreReplica replica,
      PendingRequests pendingRequests,
      PeerLiveness peerLiveness,
      Supplier<JobAnswers> answers,
      Supplier<StoreIncarnationTracker> incarnations,
      BooleanSupplier isReplicaFilled) {
    this.context = context;
    this.localLeader = localLeader;
    this.leaderObserver = leaderObserver;
    this.snapshotScheduler = snapshotScheduler;
    this.replica = replica;
    this.answers = answers;
    this.incarnations = incarnations;
    this.collector = new KnowledgeCollector(context, pendingRequests, peerLiveness, this);
    this.bootstrap = new ReplicaBootstrap(context, collector);
    this.isReplicaFilled = isReplicaFilled;
    this.startedAt = context.clock().now();
  }

  /** Returns the contents reported by other controllers until this one has read the store. */
  ReplicaBootstrap bootstrap() {
    return bootstrap;
  }

  @Override
  public Optional<ClusterSnapshot> lastLeaderState(double noticedAt) {
    return formerTermIfNotSuperseded()
        .filter(former -> former.leaseValidUntil() >= noticedAt)
        .flatMap(RestoreSource::stateOf);
  }

  @Override
  public Future<StoreRestorer.RestorableState> gather(long lossEpoch) {
    return collector
        .collect(lossEpoch)
        .map(
            others -> {
              others.stream().flatMap(Optional::stream).forEach(this::addReceived);
              MergedKnowledge joined = MergedKnowledge.of(knowledge(), others);
              return formerTermIfNotSuperseded()
                  .filter(former -> MergedKnowledge.isProvenLastTerm(endedTermOf(former), others))
                  .flatMap(RestoreSource::stateOf)
                  .map(state -> stateOfLastLeader(state, joined))
                  .orElseGet(() -> stateWithoutLastLeader(joined));
            });
  }

  private static StoreRestorer.RestorableState stateOfLastLeader(
      ClusterSnapshot state, MergedKnowledge joined) {
    return new StoreRestorer.RestorableState(
        SnapshotMerge.supplemented(state, joined.state()),
        true,
        joined.highestEpoch(),
        joined.incarnations(),
        false);
  }

  private static StoreRestorer.RestorableState stateWithoutLastLeader(MergedKnowledge joined) {
    return new StoreRestorer.RestorableState(
        joined.state(),
        false,
        joined.highestEpoch(),
        joined.incarnations(),
        !joined.allAnswered() || joined.lastTermLedElsewhere());
  }

  private void addReceived(Knowledge other) {
    receivedKnowledge = merge(receivedKnowledge, other);
  }

  /** Merges the jobs and final phases that two controllers know. */
  private static Knowledge merge(Knowledge a, Knowledge b) {
    return Knowledge.newBuilder()
        .setState(SnapshotMerge.of(a.getState(), b.getState()))
        .addAllTold(mergeReportedEnds(a, b))
        .build();
  }

  /** Returns the final phase of each job that either of two controllers has reported to users. */
  private static Collection<EndedJobSnapshot> mergeReportedEnds(Knowledge a, Knowledge b) {
    Map<String, EndedJobSnapshot> ends = new TreeMap<>();
    a.getToldList().forEach(end -> ends.put(end.getRef(), end));
    b.getToldList().forEach(end -> ends.putIfAbsent(end.getRef(), end));
    return ends.values();
  }

  /**
   * Compares the snapshot that a new incarnation began with to what this controller knows. If the
   * snapshot lacks a known job or final phase, the knowledge is kept, to be merged into the next
   * incarnation.
   *
   * @return whether the snapshot lacks something; false also if it is known to hold all jobs, if
   *     another controller has reported this very incarnation, or after {@link #MAX_MERGES}
   *     consecutive incarnations that lacked something
   */
  boolean retainIfMissingFrom(BaseSnapshot baseSnapshot) {
    Knowledge known = knowledge();
    receivedKnowledge = Knowledge.getDefaultInstance();
    boolean isReportedIncarnation =
        bootstrap.reported().getIncarnation().equals(incarnations.get().name());
    if (!baseSnapshot.jobsMissing() || mergesLeft == 0 || isReportedIncarnation) {
      mergesLeft = MAX_MERGES;
      return false;
    }
    boolean missing =
        known.getToldList().stream().anyMatch(end -> !baseSnapshot.containsEnd(end.getRef()))
            || known.getState().getEndedList().stream()
                .anyMatch(end -> !baseSnapshot.containsEnd(end.getRef()))
            || known.getState().getJobList().stream()
                .anyMatch(job -> !baseSnapshot.containsJob(job.getRef()));
    if (missing) {
      mergesLeft--;
      addReceived(known);
    }
    return missing;
  }

  @Override
  public ClusterSnapshot newestStoredSnapshot() {
    return snapshotScheduler.newest();
  }

  @Override
  public Knowledge knowledge() {
    Optional<ClusterSnapshot> termState = currentOrFormerTermState();
    Knowledge.Builder knowledge =
        merge(ownKnowledge(termState), merge(receivedKnowledge, bootstrap.reported())).toBuilder()
            .setUpMs((long) ((context.clock().now() - startedAt) * MS_PER_S))
            .setIncarnation(incarnations.get().name())
            .setHighestEpoch(leaderObserver.highestEpoch())
            .setHighestSeenMs((long) (leaderObserver.highestEpochKnownForS() * MS_PER_S))
            .setLedEpoch(termState.map(ClusterSnapshot::getEpoch).orElse(0L));
    if (leaderObserver.highestEpochLeader() != null) {
      knowledge.setHighestNode(leaderObserver.highestEpochLeader());
    }
    addIncarnation(knowledge);
    return knowledge.build();
  }

  /**
   * Returns the state of this node's current term, or that of the former term until the current
   * leader has loaded the store; empty if neither leader had loaded it.
   */
  private Optional<ClusterSnapshot> currentOrFormerTermState() {
    return localLeader
        .current()
        .filter(Leader::isLoaded)
        .map(Leader::snapshot)
        .or(() -> localLeader.former().flatMap(RestoreSource::stateOf));
  }

  /** Returns what this controller knows from its own terms, replica and answers to users. */
  private Knowledge ownKnowledge(Optional<ClusterSnapshot> termState) {
    ClusterSnapshot replicated = replica.snapshot();
    Knowledge.Builder own =
        Knowledge.newBuilder()
            .setState(
                termState.map(state -> SnapshotMerge.of(state, replicated)).orElse(replicated));
    answers
        .get()
        .ends()
        .forEach(
            (ref, phase) -> own.addTold(StateSnapshot.endedJob(ref, new EndedJob(phase, 0, 0, 0))));
    return own.build();
  }

  private void addIncarnation(Knowledge.Builder knowledge) {
    IncarnationExchange reported = incarnations.get().incarnationExchange();
    knowledge.setRevision(reported.highestRevision());
    reported
        .known()
        .ifPresent(
            incarnation ->
                knowledge
                    .setPointer(
                        ByteString.copyFrom(Json.bytes(IncarnationCodec.write(incarnation))))
                    .setPointerModRevision(incarnation.modRevision()));
  }

  @Override
  public boolean holdsContents() {
    return isReplicaFilled.getAsBoolean()
        || bootstrap.hasReport()
        || localLeader.current().map(Leader::isLoaded).orElse(false)
        || localLeader.former().map(former -> former.leader().isLoaded()).orElse(false);
  }

  @Override
  public boolean lossReported(String node, long lossEpoch) {
    return incarnations.get().dataLossReports().lossReported(node, lossEpoch);
  }

  @Override
  public void lossResolved() {
    incarnations.get().dataLossReports().lossResolved();
  }

  /** Returns this node's former term, unless a later term is known or may have existed. */
  private Optional<FormerTerm> formerTermIfNotSuperseded() {
    return localLeader
        .former()
        .filter(former -> former.leader().epoch() >= leaderObserver.highestEpoch())
        .filter(former -> !former.leader().hasLedRolledBackStore());
  }

  private MergedKnowledge.EndedTerm endedTermOf(FormerTerm former) {
    double now = context.clock().now();
    return new MergedKnowledge.EndedTerm(
        context.settings().node(),
        former.leader().epoch(),
        now - former.claimedAt(),
        now - former.leaseValidUntil());
  }

  /** Returns the state of the leader of a term; empty if it had not loaded the store. */
  private static Optional<ClusterSnapshot> stateOf(FormerTerm former) {
    return Optional.ofNullable(former.leader().snapshot());
  }
}
