package io.embernotch.controller;

import io.embernotch.api.CompletedJobCache;
import io.embernotch.api.JobAnswers;
import io.embernotch.api.SubmissionHandler;
import io.embernotch.context.ControllerContext;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.forwarding.HeartbeatForwarder;
import io.embernotch.forwarding.PendingRequests;
import io.embernotch.http.HttpResponse;
import io.embernotch.http.RequestHandler;
import io.embernotch.incarnation.StoreHeartbeatWriter;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.leader.ImageInventory;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.persistence.ShardLayout;
import io.embernotch.replication.StoreReplica;
import io.embernotch.rounds.PartitionViews;
import io.embernotch.rounds.StragglerRounds;
import io.embernotch.settings.Settings;
import io.embernotch.snapshot.file.SnapshotScheduler;
import io.embernotch.store.LeaseRenewer;
import io.embernotch.straggler.LocalPartition;
import io.vertx.core.Future;

/**
 * A controller node. It serves requests from users and heartbeats from agents, and runs the leader
 * while its node holds the leader key. Confined to the controller's event loop.
 */
public final class Controller implements RequestHandler {
  /** Number of straggler rounds after which a machine view that was not renewed expires. */
  private static final int MACHINE_VIEW_EXPIRY_ROUNDS = 6;

  private static final int TICKS_PER_HEARTBEAT_INTERVAL = 3;

  /** Share of the process's memory limit that the replica may use. */
  private static final double REPLICA_MEMORY_SHARE = 0.1;

  private static final int BYTES_PER_MB = 1 << 20;

  private final ControllerContext context;
  private final PeerLink peers;
  private final LeaseRenewer leaseRenewer;
  private final PendingRequests pendingRequests;
  private final ImageInventory imageInventory;
  private final MachineTypeCatalog machineTypes;
  private final PeerLiveness peerLiveness;
  private final SnapshotScheduler snapshotScheduler;
  private final StoreReplica replica;
  private final RestoreSource restoreSource;
  private final StoreIncarnationTracker incarnations;
  private final LeaderElection election;
  private final LeaderObserver leaderObserver;
  private final LocalLeader localLeader = new LocalLeader();
  private final LocalPartition localPartition;
  private final LeaderClient leaderClient;

  private final int shardSize;
  private final JobAnnouncements jobAnnouncements;
  private final SubmissionHandler submissions;
  private final CompletedJobCache completedJobs = new CompletedJobCache();
  private final JobAnswers answers;
  private final JobQueries jobQueries;
  private final HeartbeatForwarder heartbeatForwarder;
  private final PeerHeartbeats peerHeartbeats;
  private final StoreHeartbeatWriter storeHeartbeatWriter;
  private final Replication replication;
  private final NodeStatus nodeStatus;

  /**
   * Creates a controller, which is inactive until {@link #start} is called.
   *
   * @param peers connections to the other controllers
   * @param leaseRenewer renews the lease of the leader key while this node holds the key
   */
  public Controller(ControllerContext context, PeerLink peers, LeaseRenewer leaseRenewer) {
    this.context = context;
    this.peers = peers;
    this.leaseRenewer = leaseRenewer;
    Settings settings = context.settings();
    pendingRequests = new PendingRequests(context.timers(), peers, context.nameGenerator());
    imageInventory = new ImageInventory(settings.quota().rememberedMachines());
    machineTypes = new MachineTypeCatalog(context, this::onMachineTypesLoaded);
    peerLiveness = new PeerLiveness(settings, context.clock());
    leaderObserver = new LeaderObserver(context.clock());
    snapshotScheduler = new SnapshotScheduler(context);
    replica =
        new StoreReplica(
            (long) (REPLICA_MEMORY_SHARE * BYTES_PER_MB * settings.quota().memoryMb()));
    restoreSource = createRestoreSource();
    IncarnationEvents incarnationEvents = createIncarnationEvents();
    incarnations = createIncarnationTracker(incarnationEvents);
    election = new LeaderElection(context, leaseRenewer, incarnations, peerLiveness);
    localPartition =
        new LocalPartition(
            context.clock(), MACHINE_VIEW_EXPIRY_ROUNDS * context.operatorSettings().roundS());
    leaderClient = createLeaderClient();
    shardSize = ShardLayout.defaultSize(settings);
    jobAnnouncements = createJobAnnouncements();
    answers = new JobAnswers(context, completedJobs, this::currentKnowledge);
    submissions = createSubmissionHandler();
    jobQueries = createJobQueries();
    heartbeatForwarder =
        new HeartbeatForwarder(
            context, new ForwardingContext(context.store(), peers, pendingRequests, peerLiveness));
    peerHeartbeats = createPeerHeartbeats();
    storeHeartbeatWriter = createStoreHeartbeatWriter();
    replication = createReplication();
    incarnationEvents.connect(election, replication, submissions, machineTypes, peerHeartbeats);
    nodeStatus = createNodeStatus();
  }

  private IncarnationEvents createIncarnationEvents() {
    return new IncarnationEvents(
        context.settings().node(),
        peerLiveness,
        leaderObserver,
        localLeader,
        restoreSource,
        () -> incarnations);
  }

  private StoreIncarnationTracker createIncarnationTracker(IncarnationEvents events) {
    return new StoreIncarnationTracker(context, events, restoreSource, leaseRenewer.leaseTtlS());
  }

  private JobQueries createJobQueries() {
    return new JobQueries(
        context, answers, completedJobs, incarnations, submissions::knows, leaderClient::request);
  }

  private RestoreSource createRestoreSource() {
    return new RestoreSource(
        context,
        localLeader,
        leaderObserver,
        snapshotScheduler,
        replica,
        pendingRequests,
        peerLiveness,
        () -> answers,
        () -> incarnations,
        () -> replication.isFilled());
  }

  private Replication createReplication() {
    return new Replication(
        context,
        peers,
        peerLiveness,
        replica,
        restoreSource,
        incarnations,
        election,
        leaderObserver,
        localLeader,
        jobAnnouncements);
  }

  private LeaderClient createLeaderClient() {
    return new LeaderClient(
        context.settings().node(),
        peers,
        pendingRequests,
        peerLiveness,
        leaderObserver,
        election,
        localLeader);
  }

  private JobAnnouncements createJobAnnouncements() {
    return new JobAnnouncements(
        context.store(), peers, incarnations, leaderObserver, localLeader, shardSize);
  }

  private SubmissionHandler createSubmissionHandler() {
    SubmissionContext submissionContext =
        new SubmissionContext(
            incarnations, peerLiveness, pendingRequests, jobAnnouncements, this::poll);
    return new SubmissionHandler(
        context, machineTypes.types(), shardSize, submissionContext, answers);
  }

  private JobAnswers.AnswerContext currentKnowledge() {
    return new JobAnswers.AnswerContext(
        leaderObserver.node(),
        leaderObserver.epoch(),
        context.store().highestRevisionSeen(),
        incarnations.name());
  }

  private PeerHeartbeats createPeerHeartbeats() {
    return new PeerHeartbeats(
        context,
        peers,
        incarnations,
        election,
        leaderObserver,
        peerLiveness,
        heartbeatForwarder,
        localLeader);
  }

  private StoreHeartbeatWriter createStoreHeartbeatWriter() {
    return new StoreHeartbeatWriter(
        context,
        () -> localLeader.current().map(leader -> leader.modRevision()),
        incarnations::name,
        () -> !peerLiveness.areAllLive());
  }

  private NodeStatus createNodeStatus() {
    return new NodeStatus(
        context,
        machineTypes,
        incarnations,
        election,
        leaderObserver,
        peerLiveness,
        localPartition,
        localLeader,
        answers,
        replication);
  }

  private PeerFrameDispatcher createFrameDispatcher() {
    return new PeerFrameDispatcher(
        peerHeartbeats,
        heartbeatForwarder,
        pendingRequests,
        submissions,
        localPartition,
        imageInventory,
        jobAnnouncements,
        leaderClient,
        localLeader,
        answers,
        replication);
  }

  private RoleTransitions createRoleTransitions() {
    ControllerLeaderContext leaderContext =
        new ControllerLeaderContext(
            context.settings(),
            peers,
            peerLiveness,
            election,
            incarnations,
            new PartitionViews(context.settings().node(), localPartition, peers),
            completedJobs,
            imageInventory);
    return new RoleTransitions(
        context,
        leaderContext,
        machineTypes,
        incarnations,
        heartbeatForwarder,
        peerHeartbeats,
        peerLiveness,
        leaderObserver,
        leaderClient,
        localLeader,
        replication,
        election);
  }

  /** Starts receiving frames, contending for leadership and sending heartbeats. Call only once. */
  public void start() {
    peers.onFrame(createFrameDispatcher()::dispatch);
    peers.onConnected(peerHeartbeats::sendOnConnect);
    incarnations.start();
    machineTypes.load();
    election.start(createRoleTransitions());
    storeHeartbeatWriter.start();
    tick();
    new StragglerRounds(
            context,
            localPartition,
            restarts -> leaderClient.proposeRestarts(localPartition.epoch(), restarts))
        .start();
  }

  private void tick() {
    leaseRenewer.reportCoreAlive();
    peerHeartbeats.send();
    heartbeatForwarder.sendDelegateHeartbeat();
    localLeader
        .current()
        .ifPresent(
            leader -> {
              incarnations.verifyContents(leader.modRevision());
              snapshotScheduler.tick(incarnations.name(), leader::snapshot);
            });
    replication.tick();
    peerLiveness.takeConnectionsToRenew().forEach(peers::reconnect);
    double heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
    context.timers().after(heartbeatIntervalS / TICKS_PER_HEARTBEAT_INTERVAL, this::tick);
  }

  private void onMachineTypesLoaded() {
    localLeader.current().ifPresent(leader -> leader.addMachineTypes(machineTypes.types()));
  }

  // ---- requests from users, operators and agents

  @Override
  public Future<HttpResponse> submit(byte[] body) {
    return submissions.submit(body);
  }

  @Override
  public Future<HttpResponse> poll(String ref) {
    return jobQueries.poll(ref);
  }

  @Override
  public Future<HttpResponse> abort(String ref) {
    return jobQueries.abort(ref);
  }

  @Override
  public Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat) {
    return localLeader.isPresent()
        ? leaderClient.deliverHeartbeat(heartbeat, LeaderClient.RECEIVED_DIRECTLY)
        : heartbeatForwarder.handleHeartbeat(heartbeat);
  }

  @Override
  public HttpResponse ready() {
    return nodeStatus.ready();
  }

  @Override
  public Future<HttpResponse> overview() {
    double withinS = context.settings().workers().heartbeatIntervalS();
    return leaderClient
        .request(Frame.ForwardedRequest.Kind.OVERVIEW, "", withinS)
        .map(nodeStatus::overview);
  }

  /** Number of answers withheld because they contradicted a job's known final phase. */
  public int answerContradictions() {
    return answers.contradictions();
  }
}
