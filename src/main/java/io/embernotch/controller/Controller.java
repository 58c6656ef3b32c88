package io.embernotch.controller;

import io.embernotch.leader.ImageInventory;
import io.embernotch.leader.Leader;
import io.embernotch.leader.LeaderContext;
import io.embernotch.leader.LeaderMessage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.copy.proto.CopyFile.Copy;
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

  private final ControllerContext env;
  private final Settings settings;
  private final PeerLink peers;
  private final LeaseRenewer keeper;
  private final SnapshotScheduler snapshots;
  private final StoreIncarnationTracker eras;
  private final LeaderElection election;
  private final PeerLiveness alive;
  private final PeerHeartbeats beats;
  private final LocalPartition part;
  private final PartitionViews post;
  private final int pieceSize;
  private final SubmissionHandler submissions;
  private final JobQueries inquiries;
  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final ImageInventory images;
  private final HeartbeatForwarder reception;
  private final CompletedJobCache ended = new CompletedJobCache();
  private final PendingRequests questions;
  private final MachineTypeCatalog typesBook;
  private Leader leader;
  /** What was leader here last, until another is: it knows what the store held. */
  private Leader former;
  private final LeaderObserver followed = new LeaderObserver();

  public Controller(ControllerContext env, PeerLink peers, LeaseRenewer keeper) {
    this.env = env;
    this.settings = env.settings();
    this.peers = peers;
    this.questions = new PendingRequests(env.timers(), peers, env.names());
    this.keeper = keeper;
    this.images = new ImageInventory(settings.quota().machines());
    this.alive = new PeerLiveness(settings, env.clock());
    this.snapshots = new SnapshotScheduler(env);
    this.eras = new StoreIncarnationTracker(env, this, this, keeper.lifeS());
    this.beats = new PeerHeartbeats(env, peers, eras);
    this.election = new LeaderElection(settings, env.store(), keeper, env.clock(), env.timers(), eras, this);
    this.part = new LocalPartition(env.clock(), 6 * env.operator().roundS());
    this.post = new PartitionViews(settings.node(), part, peers);
    this.pieceSize = JobProgressCodec.piece(settings.stateFloor().valueKb(), settings.zones());
    this.submissions = new SubmissionHandler(env, types, pieceSize, this);
    this.inquiries = new JobQueries(env, ended, eras, submissions::knows, this::forward);
    this.reception = new HeartbeatForwarder(env, this);
    this.typesBook = new MachineTypeCatalog(env, types, this::typesKnown);
  }

  public void start() {
    peers.onFrame(this::frame);
    eras.start();
    typesBook.learn();
    election.start();
    beat();
    new StragglerRounds(env, part, this::propose).start();
  }

  private void typesKnown() {
    if (leader != null) {
      leader.ledger().types.putAll(types);
    }
  }

  @Override
  public HttpResponse ready() {
    if (types.isEmpty()) {
      return HttpResponse.later("machine types are not known yet");
    }
    // In an outage all nodes are alike, and leaving the balancer would only delay the return.
    boolean onlyUs = env.store().failingForS() > settings.workers().reportS() / 2 && alive.firstWithState() != null;
    boolean alone = !settings.members().isEmpty() && alive.live().isEmpty() && env.store().failingForS() > 0;
    return onlyUs || alone ? HttpResponse.later("cannot reach the state service") : HttpResponse.of(200, "{}".getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public Future<HttpResponse> submit(byte[] body) {
    return submissions.submit(body);
  }

  @Override
  public void accepted(Job job, ObjectNode value, long epoch) {
    if (leader != null) {
      leader.tell(new LeaderMessage.JobAccepted(job, pieceSize));
    } else if (followed.node() != null) {
      peers.send(followed.node(), JobAnnouncements.of(value, eras.name(), epoch));
    }
  }

  @Override
  public boolean sound() {
    return eras.sound();
  }

  @Override
  public String era() {
    return eras.name();
  }

  @Override
  public BaseSnapshot base() {
    return eras.base();
  }

  @Override
  public void settled(BaseSnapshot base) {
    if (leader != null) {
      // An era of our own is settled before its term begins: this one is another's.
      election.deposed("another era has begun");
    }
    submissions.renew();
    if (base.since() > 0) {
      typesBook.keep();
    }
  }

  @Override
  public boolean heardAll() {
    return alive.heardAll();
  }

  @Override
  public void dataLost(String why) {
    election.deposed("the state service has lost data");
    sendBeats();
  }

  @Override
  public Copy copy() {
    return former == null ? null : former.copy();
  }

  @Override
  public Copy kept() {
    return snapshots.newest();
  }

  @Override
  public Future<HttpResponse> elsewhere(byte[] body, double withinS) {
    String node = alive.nextWithState();
    return node == null ? null : questions.ask(node, id -> new Frame.ForwardedSubmission(id, body), withinS);
  }

  @Override
  public Future<HttpResponse> poll(String ref) {
    return inquiries.poll(ref);
  }

  @Override
  public Future<HttpResponse> abort(String ref) {
    return inquiries.abort(ref);
  }

  @Override
  public Future<HttpResponse> overview() {
    return forward(Frame.ForwardedRequest.Kind.OVERVIEW, "", settings.workers().reportS()).map(a -> HttpResponse.of(200, Json.bytes(overview(a))));
  }

  private ObjectNode overview(HttpResponse cluster) {
    ObjectNode o = Json.object();
    o.put("node", settings.node());
    o.put("steward", followed.node());
    o.put("live", leader != null && election.live());
    o.put("state_ok", env.store().failingForS() == 0);
    o.put("era", eras.name()).put("sound", eras.sound()).put("losses", eras.losses());
    o.put("part", part.size());
    var peersNode = o.putArray("peers");
    alive.live().forEach(peersNode::add);
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
    if (followed.node() == null || !alive.isLive(followed.node())) {
      return Future.succeededFuture(HttpResponse.later("no steward is known"));
    }
    return questions.ask(followed.node(), id -> new Frame.ForwardedRequest(id, what, ref), withinS);
  }

  @Override
  public Future<HttpResponse> report(Heartbeat report) {
    return leader == null ? reception.report(report) : own(report);
  }

  private Future<HttpResponse> own(Heartbeat report) {
    return own(report, 0);
  }

  private Future<HttpResponse> own(Heartbeat report, long via) {
    if (leader == null || election.unprovenForS() > leader.holdS()) {
      return Future.succeededFuture(HttpResponse.later("leadership is not proven"));
    }
    Promise<byte[]> reply = Promise.promise();
    leader.tell(new LeaderMessage.HeartbeatReceived(report, via, reply));
    return reply.future().map(b -> b == null ? HeartbeatForwarder.misdirected(null) : HttpResponse.of(200, b));
  }

  @Override
  public Future<HttpResponse> ask(String node, LongFunction<Frame> question, double withinS) {
    return questions.ask(node, question, withinS);
  }

  @Override
  public void send(String node, Frame frame) {
    peers.send(node, frame);
  }

  @Override
  public boolean badlyPlaced() {
    return env.store().failingForS() > 0 && (alive.live().isEmpty() || alive.firstWithState() != null);
  }

  // ---- leadership

  @Override
  public void acquired(long epoch, long stamp) {
    env.store().leading(true);
    former = null;
    leader = new Leader(env, this, epoch, stamp, types.values(), eras.base(), eras.begunWith(), reception.waiting());
    reception.recent().forEach(r -> leader.tell(new LeaderMessage.HeartbeatHandedOver(r)));
    reception.unpark(this::own);
    leader.start();
    sendBeats();
  }

  @Override
  public void lost(String why) {
    env.store().leading(false);
    if (leader != null) {
      leader.stop();
      former = leader;
      leader = null;
    }
    followed.is(null, 0);
    reception.leaderIs(null, 0, false);
  }

  @Override
  public void leaderIs(String node, long epoch, boolean relays) {
    followed.is(node, epoch);
    if (former != null && epoch > former.epoch()) {
      former = null;
    }
    reception.leaderIs(node, epoch, relays);
  }

  @Override
  public boolean isLive(String node) {
    return alive.isLive(node);
  }

  @Override
  public boolean yieldFirst() {
    return types.isEmpty() || (!settings.members().isEmpty() && alive.live().isEmpty());
  }

  @Override
  public boolean live() {
    return election.live();
  }

  @Override
  public void outranked(String why) {
    election.deposed(why);
  }

  @Override
  public PartitionViews post() {
    return post;
  }

  @Override
  public void seenEpoch(long epoch) {
    eras.seenEpoch(epoch);
  }

  @Override
  public void resign(String why) {
    if (!alive.live().isEmpty()) {
      election.resign(why, settings.workers().leaseS() / 2);
    }
  }

  @Override
  public void ended(String ref, JobPhase phase, int tasks, int done) {
    ended.put(ref, phase, done);
  }

  @Override
  public void tellAll(Frame frame) {
    if (frame instanceof Frame.ImageInventoryUpdate f) {
      images.heard(f);
    }
    settings.members().forEach(m -> peers.send(m.node(), frame));
  }

  @Override
  public List<String> images(String machine) {
    return images.of(machine);
  }

  private void beat() {
    keeper.alive();
    sendBeats();
    reception.beat();
    if (leader != null) {
      eras.probe(leader.stamp());
      snapshots.tick(eras.name(), leader::copy);
    }
    for (String silent : alive.newlySilent()) {
      peers.renew(silent);
    }
    env.timers().after(settings.workers().reportS() / 3, this::beat);
  }

  private void sendBeats() {
    boolean leads = leader != null && election.live();
    beats.send(leads ? settings.node() : followed.node(), leads ? election.epoch() : followed.epoch());
  }

  private void frame(Frame frame, PeerLink.ReplyChannel back) {
    if (frame instanceof Frame.PeerHeartbeat f) {
      heard(f);
    } else if (frame instanceof Frame.JobAccepted f) {
      if (leader != null) {
        JobAnnouncements.heard(f.value(), eras.name(), env.store(), leader::tell);
      }
    } else if (frame instanceof Frame.ForwardedRequest f) {
      Promise<HttpResponse> reply = Promise.promise();
      reply.future().onSuccess(a -> back.send(new Frame.Response(f.id(), a.status(), a.retryAfterS(), a.body())));
      if (leader != null) {
        leader.tell(new LeaderMessage.UserRequest(f.what(), f.ref(), reply));
      } else {
        reply.complete(HttpResponse.later("not the steward"));
      }
    } else if (frame instanceof Frame.ForwardedHeartbeat f) {
      if (f.id() != 0) {
        own(f.report(), ProcessIncarnation.of(f.id())).onSuccess(a -> back.send(new Frame.Response(f.id(), a.status(), a.retryAfterS(), a.body())));
      } else if (leader != null) {
        leader.tell(new LeaderMessage.HeartbeatHandedOver(f.report()));
      }
    } else if (frame instanceof Frame.DelegateHeartbeat f) {
      if (leader != null) {
        back.send(leader.heard(f));
      }
    } else if (frame instanceof Frame.DelegateHeartbeatAck f) {
      reception.noted(f);
    } else if (frame instanceof Frame.ForwardedSubmission f) {
      submissions
          .passedOn(f.body())
          .onSuccess(a -> back.send(new Frame.Response(f.id(), a.status(), a.retryAfterS(), a.body())));
    } else if (frame instanceof Frame.Response f) {
      questions.told(f);
    } else if (frame instanceof Frame.MachineViewUpdate f) {
      part.put(f.epoch(), f.view());
    } else if (frame instanceof Frame.ImageInventoryUpdate f) {
      images.heard(f);
    } else if (frame instanceof Frame.MachineViewRemoval f) {
      part.forget(f.epoch(), f.machine());
    } else if (frame instanceof Frame.RestartProposals f) {
      if (leader != null && leader.epoch() == f.epoch()) {
        leader.tell(new LeaderMessage.RestartsProposed(f.from(), f.restarts()));
      }
    }
  }

  private void heard(Frame.PeerHeartbeat f) {
    alive.heard(f.node(), f.stateOk());
    eras.heard(f.node(), f.leader(), f.leaderEpoch());
    boolean leads = f.node().equals(f.leader());
    if (leads && election.holding() && f.leaderEpoch() > election.epoch()) {
      election.deposed(f.node() + " is steward since epoch " + f.leaderEpoch());
    }
    if (leads && followed.told(f.node(), f.leaderEpoch())) {
      // Whether it takes reports stands in its key; without the store, workers go to it by themselves.
      boolean willKnow = env.store().failingForS() == 0;
      reception.leaderIs(willKnow ? null : f.node(), willKnow ? 0 : f.leaderEpoch(), false);
    }
  }

  @Override
  public Set<String> controllers() {
    Set<String> out = new TreeSet<>(alive.live());
    out.add(settings.node());
    return out;
  }

  private void propose(List<Restart> restarts) {
    if (leader != null && leader.epoch() == part.epoch()) {
      leader.tell(new LeaderMessage.RestartsProposed(settings.node(), restarts));
    } else if (followed.node() != null) {
      peers.send(followed.node(), new Frame.RestartProposals(settings.node(), part.epoch(), restarts));
    }
  }
}
