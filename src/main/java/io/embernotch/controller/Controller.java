package io.embernotch.controller;

import io.embernotch.leader.ImageInventory;
import io.embernotch.leader.Leader;
import io.embernotch.leader.LeaderContext;
import io.embernotch.leader.LeaderMessage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.ProcessIncarnation;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.incarnation.StoreRestorer;
import io.embernotch.http.HttpResponse;
import io.embernotch.http.RequestHandler;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.model.Job;
import io.embernotch.model.MachineType;
import io.embernotch.model.JobPhase;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.forwarding.PendingRequests;
import io.embernotch.forwarding.HeartbeatForwarder;
import io.embernotch.rounds.PartitionViews;
import io.embernotch.rounds.StragglerRounds;
import io.embernotch.settings.Settings;
import io.embernotch.snapshot.file.SnapshotScheduler;
import io.embernotch.store.LeaseRenewer;
import io.embernotch.straggler.LocalPartition;
import io.embernotch.straggler.Restart;
import io.embernotch.api.CompletedJobCache;
import io.embernotch.api.SubmissionHandler;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: takes in what users and workers send, and is leader whenever it holds the key. */
public final class Controller implements RequestHandler, LeaderElection.Listener, LeaderContext, SubmissionHandler.Host, HeartbeatForwarder.Host, StoreIncarnationTracker.Host, StoreRestorer.Source {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private final ControllerContext context;
  private final Settings settings;
  private final PeerLink peers;
  private final LeaseRenewer leaseRenewer;
  private final SnapshotScheduler snapshots;
  private final StoreIncarnationTracker incarnations;
  private final LeaderElection election;
  private final PeerLiveness peerLiveness;
  private final PeerHeartbeats peerHeartbeats;
  private final LocalPartition localPartition;
  private final PartitionViews partitionViews;
  private final int shardSize;
  private final SubmissionHandler submissions;
  private final JobQueries jobQueries;
  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final ImageInventory imageInventory;
  private final HeartbeatForwarder heartbeatForwarder;
  private final CompletedJobCache ended = new CompletedJobCache();
  private final PendingRequests pendingRequests;
  private final MachineTypeCatalog machineTypeCatalog;
  private Leader leader;
  /** What was leader here last, until another is: it knows what the store held. */
  private Leader formerLeader;
  private final LeaderObserver leaderObserver = new LeaderObserver();

  public Controller(ControllerContext context, PeerLink peers, LeaseRenewer leaseRenewer) {
    this.context = context;
    this.settings = context.settings();
    this.peers = peers;
    this.pendingRequests = new PendingRequests(context.timers(), peers, context.names());
    this.leaseRenewer = leaseRenewer;
    this.imageInventory = new ImageInventory(settings.quota().rememberedMachines());
    this.peerLiveness = new PeerLiveness(settings, context.clock());
    this.snapshots = new SnapshotScheduler(context);
    this.incarnations = new StoreIncarnationTracker(context, this, this, leaseRenewer.leaseTtlS());
    this.peerHeartbeats = new PeerHeartbeats(context, peers, incarnations);
    this.election = new LeaderElection(settings, context.store(), leaseRenewer, context.clock(), context.timers(), incarnations, this);
    this.localPartition = new LocalPartition(context.clock(), 6 * context.operator().roundS());
    this.partitionViews = new PartitionViews(settings.node(), localPartition, peers);
    this.shardSize = JobProgressCodec.shardSize(settings.minStoreLimits().valueKb(), settings.zones());
    this.submissions = new SubmissionHandler(context, types, shardSize, this);
    this.jobQueries = new JobQueries(context, ended, incarnations, submissions::knows, this::forward);
    this.heartbeatForwarder = new HeartbeatForwarder(context, this);
    this.machineTypeCatalog = new MachineTypeCatalog(context, types, this::typesKnown);
  }

  public void start() {
    peers.onFrame(this::handleFrame);
    incarnations.start();
    machineTypeCatalog.load();
    election.start();
    tick();
    new StragglerRounds(context, localPartition, this::proposeRestarts).start();
  }

  private void typesKnown() {
    if (leader != null) {
      leader.state().types.putAll(types);
    }
  }

  @Override
  public HttpResponse ready() {
    if (types.isEmpty()) {
      return HttpResponse.later("machine types are not known yet");
    }
    // In an outage all nodes are alike, and leaving the balancer would only delay the return.
    boolean onlyUs = context.store().failingForS() > settings.workers().heartbeatIntervalS() / 2 && peerLiveness.firstWithStore() != null;
    boolean alone = !settings.members().isEmpty() && peerLiveness.live().isEmpty() && context.store().failingForS() > 0;
    return onlyUs || alone ? HttpResponse.later("cannot reach the state service") : HttpResponse.of(200, "{}".getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public Future<HttpResponse> submit(byte[] body) {
    return submissions.submit(body);
  }

  @Override
  public void submissionAccepted(Job job, ObjectNode value, long epoch) {
    if (leader != null) {
      leader.tell(new LeaderMessage.JobAccepted(job, shardSize));
    } else if (leaderObserver.node() != null) {
      peers.send(leaderObserver.node(), JobAnnouncements.of(value, incarnations.name(), epoch));
    }
  }

  @Override
  public boolean storeIsIntact() {
    return incarnations.isIntact();
  }

  @Override
  public String incarnationName() {
    return incarnations.name();
  }

  @Override
  public BaseSnapshot base() {
    return incarnations.base();
  }

  @Override
  public void incarnationSettled(BaseSnapshot baseSnapshot) {
    if (leader != null) {
      // An incarnation of our own is settled before its term begins: this one is another's.
      election.stepDown("another store incarnation has begun");
    }
    submissions.storeIncarnationChanged();
    if (baseSnapshot.since() > 0) {
      machineTypeCatalog.store();
    }
  }

  @Override
  public boolean allPeersHeard() {
    return peerLiveness.allHeard();
  }

  @Override
  public void dataLost(String why) {
    election.stepDown("the store has lost data");
    sendBeats();
  }

  @Override
  public ClusterSnapshot lastLeaderSnapshot() {
    return formerLeader == null ? null : formerLeader.copy();
  }

  @Override
  public ClusterSnapshot newestStoredSnapshot() {
    return snapshots.newest();
  }

  @Override
  public Future<HttpResponse> submitElsewhere(byte[] body, double withinS) {
    String node = peerLiveness.nextWithStore();
    return node == null ? null : pendingRequests.send(node, id -> new Frame.ForwardedSubmission(id, body), withinS);
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
  public Future<HttpResponse> overview() {
    return forward(Frame.ForwardedRequest.Kind.OVERVIEW, "", settings.workers().heartbeatIntervalS()).map(a -> HttpResponse.of(200, Json.bytes(overview(a))));
  }

  private ObjectNode overview(HttpResponse cluster) {
    ObjectNode o = Json.object();
    o.put("node", settings.node());
    o.put("steward", leaderObserver.node());
    o.put("live", leader != null && election.isLeaseValid());
    o.put("state_ok", context.store().failingForS() == 0);
    o.put("era", incarnations.name()).put("sound", incarnations.isIntact()).put("losses", incarnations.losses());
    o.put("part", localPartition.size());
    var peersNode = o.putArray("peers");
    peerLiveness.live().forEach(peersNode::add);
    if (cluster.status() == 200) {
      o.set("cluster", Json.parseObject(cluster.body()));
    }
    return o;
  }

  /** Asks the leader, here or elsewhere; 503 if there is none to be had in time. */
  private Future<HttpResponse> forward(Frame.ForwardedRequest.Kind what, String ref, double withinS) {
    Promise<HttpResponse> reply = Promise.promise();
    if (leader != null) {
      leader.tell(new LeaderMessage.UserRequest(what, ref, reply));
      return reply.future();
    }
    if (leaderObserver.node() == null || !peerLiveness.isLive(leaderObserver.node())) {
      return Future.succeededFuture(HttpResponse.later("no steward is known"));
    }
    return pendingRequests.send(leaderObserver.node(), id -> new Frame.ForwardedRequest(id, what, ref), withinS);
  }

  @Override
  public Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat) {
    return leader == null ? heartbeatForwarder.handleHeartbeat(heartbeat) : handleAsLeader(heartbeat, 0);
  }

  private Future<HttpResponse> handleAsLeader(Heartbeat heartbeat, long via) {
    if (leader == null || election.leaseUnprovenForS() > leader.gracePeriodS()) {
      return Future.succeededFuture(HttpResponse.later("leadership is not proven"));
    }
    Promise<byte[]> reply = Promise.promise();
    leader.tell(new LeaderMessage.HeartbeatReceived(heartbeat, via, reply));
    return reply.future().map(b -> b == null ? HeartbeatForwarder.misdirected(null) : HttpResponse.of(200, b));
  }

  @Override
  public Future<HttpResponse> ask(String node, LongFunction<Frame> question, double withinS) {
    return pendingRequests.send(node, question, withinS);
  }

  @Override
  public void send(String node, Frame frame) {
    peers.send(node, frame);
  }

  @Override
  public boolean isPartitionedFromStore() {
    return context.store().failingForS() > 0 && (peerLiveness.live().isEmpty() || peerLiveness.firstWithStore() != null);
  }

  // ---- leadership

  @Override
  public void leadershipAcquired(long epoch, long modRevision) {
    context.store().setLeading(true);
    formerLeader = null;
    leader = new Leader(context, this, epoch, modRevision, types.values(), incarnations.base(), incarnations.takeInitialSnapshot(), heartbeatForwarder.controllersDelayingCancellations());
    heartbeatForwarder.recentHeartbeats().forEach(heartbeat -> leader.tell(new LeaderMessage.HeartbeatHandedOver(heartbeat)));
    heartbeatForwarder.releaseParked(heartbeat -> handleAsLeader(heartbeat, 0));
    leader.start();
    sendBeats();
  }

  @Override
  public void leadershipLost(String why) {
    context.store().setLeading(false);
    if (leader != null) {
      leader.stop();
      formerLeader = leader;
      leader = null;
    }
    leaderObserver.update(null, 0);
    heartbeatForwarder.leaderChanged(null, 0, false);
  }

  @Override
  public void leaderChanged(String node, long epoch, boolean relays) {
    leaderObserver.update(node, epoch);
    if (formerLeader != null && epoch > formerLeader.epoch()) {
      formerLeader = null;
    }
    heartbeatForwarder.leaderChanged(node, epoch, relays);
  }

  @Override
  public boolean isLive(String node) {
    return peerLiveness.isLive(node);
  }

  @Override
  public boolean shouldYield() {
    return types.isEmpty() || (!settings.members().isEmpty() && peerLiveness.live().isEmpty());
  }

  @Override
  public boolean isLeaseValid() {
    return election.isLeaseValid();
  }

  @Override
  public void superseded(String why) {
    election.stepDown(why);
  }

  @Override
  public PartitionViews partitionViews() {
    return partitionViews;
  }

  @Override
  public void observeEpoch(long epoch) {
    incarnations.observeEpoch(epoch);
  }

  @Override
  public void resign(String why) {
    if (!peerLiveness.live().isEmpty()) {
      election.resign(why, settings.workers().leaseS() / 2);
    }
  }

  @Override
  public void jobCompleted(String ref, JobPhase phase, int tasks, int done) {
    ended.put(ref, phase, done);
  }

  @Override
  public void broadcast(Frame frame) {
    if (frame instanceof Frame.ImageInventoryUpdate f) {
      imageInventory.update(f);
    }
    settings.members().forEach(member -> peers.send(member.node(), frame));
  }

  @Override
  public List<String> lastKnownImages(String machine) {
    return imageInventory.of(machine);
  }

  private void tick() {
    leaseRenewer.coreAlive();
    sendBeats();
    heartbeatForwarder.sendDelegateHeartbeat();
    if (leader != null) {
      incarnations.probe(leader.modRevision());
      snapshots.tick(incarnations.name(), leader::copy);
    }
    for (String silent : peerLiveness.takeNewlyUnresponsive()) {
      peers.renew(silent);
    }
    context.timers().after(settings.workers().heartbeatIntervalS() / 3, this::tick);
  }

  private void sendBeats() {
    boolean leads = leader != null && election.isLeaseValid();
    peerHeartbeats.send(leads ? settings.node() : leaderObserver.node(), leads ? election.epoch() : leaderObserver.epoch());
  }

  private void handleFrame(Frame frame, PeerLink.ReplyChannel back) {
    if (frame instanceof Frame.PeerHeartbeat f) {
      handlePeerHeartbeat(f);
    } else if (frame instanceof Frame.JobAccepted f) {
      if (leader != null) {
        JobAnnouncements.received(f.value(), incarnations.name(), context.store(), leader::tell);
      }
    } else if (frame instanceof Frame.ForwardedRequest f) {
      Promise<HttpResponse> reply = Promise.promise();
      reply.future().onSuccess(a -> back.send(new Frame.Response(f.id(), a.status(), a.retryAfterS(), a.body())));
      if (leader != null) {
        leader.tell(new LeaderMessage.UserRequest(f.kind(), f.ref(), reply));
      } else {
        reply.complete(HttpResponse.later("not the steward"));
      }
    } else if (frame instanceof Frame.ForwardedHeartbeat f) {
      if (f.id() != 0) {
        handleAsLeader(f.heartbeat(), ProcessIncarnation.of(f.id())).onSuccess(a -> back.send(new Frame.Response(f.id(), a.status(), a.retryAfterS(), a.body())));
      } else if (leader != null) {
        leader.tell(new LeaderMessage.HeartbeatHandedOver(f.heartbeat()));
      }
    } else if (frame instanceof Frame.DelegateHeartbeat f) {
      if (leader != null) {
        back.send(leader.delegateHeartbeatReceived(f));
      }
    } else if (frame instanceof Frame.DelegateHeartbeatAck f) {
      heartbeatForwarder.delegateHeartbeatAcknowledged(f);
    } else if (frame instanceof Frame.ForwardedSubmission f) {
      submissions
          .handleForwarded(f.body())
          .onSuccess(a -> back.send(new Frame.Response(f.id(), a.status(), a.retryAfterS(), a.body())));
    } else if (frame instanceof Frame.Response f) {
      pendingRequests.complete(f);
    } else if (frame instanceof Frame.MachineViewUpdate f) {
      localPartition.put(f.epoch(), f.view());
    } else if (frame instanceof Frame.ImageInventoryUpdate f) {
      imageInventory.update(f);
    } else if (frame instanceof Frame.MachineViewRemoval f) {
      localPartition.remove(f.epoch(), f.machine());
    } else if (frame instanceof Frame.RestartProposals f) {
      if (leader != null && leader.epoch() == f.epoch()) {
        leader.tell(new LeaderMessage.RestartsProposed(f.from(), f.restarts()));
      }
    }
  }

  private void handlePeerHeartbeat(Frame.PeerHeartbeat f) {
    peerLiveness.recordHeartbeat(f.node(), f.storeReachable());
    incarnations.peerHeartbeatReceived(f.node(), f.leader(), f.leaderEpoch());
    boolean leads = f.node().equals(f.leader());
    if (leads && election.holdsKey() && f.leaderEpoch() > election.epoch()) {
      election.stepDown(f.node() + " is leader since epoch " + f.leaderEpoch());
    }
    if (leads && leaderObserver.observeClaim(f.node(), f.leaderEpoch())) {
      // Whether it takes reports stands in its key; without the store, workers go to it by themselves.
      boolean willKnow = context.store().failingForS() == 0;
      heartbeatForwarder.leaderChanged(willKnow ? null : f.node(), willKnow ? 0 : f.leaderEpoch(), false);
    }
  }

  @Override
  public Set<String> controllers() {
    Set<String> out = new TreeSet<>(peerLiveness.live());
    out.add(settings.node());
    return out;
  }

  private void proposeRestarts(List<Restart> restarts) {
    if (leader != null && leader.epoch() == localPartition.epoch()) {
      leader.tell(new LeaderMessage.RestartsProposed(settings.node(), restarts));
    } else if (leaderObserver.node() != null) {
      peers.send(leaderObserver.node(), new Frame.RestartProposals(settings.node(), localPartition.epoch(), restarts));
    }
  }
}
