package io.embernotch.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Actor;
import io.embernotch.codec.Json;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.copy.proto.CopyFile.Copy;
import io.embernotch.context.ControllerContext;
import io.embernotch.fleet.FleetManager;
import io.embernotch.http.HttpResponse;
import io.embernotch.jobs.Cancellations;
import io.embernotch.jobs.DependencyGraph;
import io.embernotch.jobs.JobCompletions;
import io.embernotch.jobs.AttemptOutcomes;
import io.embernotch.jobs.StoreLoader;
import io.embernotch.jobs.FailoverRecovery;
import io.embernotch.jobs.JobRequestHandler;
import io.embernotch.state.DemandForecast;
import io.embernotch.state.ClusterState;
import io.embernotch.state.ClusterOverview;
import io.embernotch.agents.TaskLauncher;
import io.embernotch.agents.TaskStopper;
import io.embernotch.agents.FencingTokens;
import io.embernotch.agents.RenewalDelegations;
import io.embernotch.agents.AgentReconciler;
import io.embernotch.model.Attempt;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.embernotch.scheduling.Scheduler;
import io.embernotch.persistence.StateWriter;
import io.embernotch.persistence.SubmissionWatcher;
import io.embernotch.persistence.ShardLayout;
import io.embernotch.rounds.RestartReviewer;
import io.embernotch.rounds.MachineViewPublisher;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one that writes, for one term: it owns the ledger, and lives from the moment its node
 * acquires the key until it loses it.
 */
public final class Leader extends Actor<LeaderMessage> implements AgentReconciler.Outcome, FleetManager.Outcome {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

  private final ControllerContext env;
  private final LeaderContext host;
  private final long epoch;
  private final long stamp;
  private final ClusterState ledger = new ClusterState();
  private final StateWriter committer;
  private final AgentReconciler workers;
  private final FleetManager fleet;
  private final MachineViewPublisher feed;
  private final SchedulingLoop planning;
  private final RestartReviewer restarts;
  private final AttemptOutcomes outcomes;
  private final ImageInventory.Publisher images;
  private final DemandForecast demand;
  private final ShardLayout layout;
  private final DependencyGraph chains;
  private final JobCompletions endings;
  private final JobRequestHandler users;
  private final RenewalDelegations delegations;
  private final Cancellations cancels;
  private final TaskStopper stops;
  private final TaskLauncher starts;
  private final HeartbeatQueue reports;
  private final double acquiredAt;
  private final BaseSnapshot base;
  private Copy begunWith;
  private FailoverRecovery takeover;
  private final List<LeaderMessage> waiting = new ArrayList<>();
  private final PendingHeartbeats early = new PendingHeartbeats();
  private boolean loaded;
  private double loadedAt;
  private boolean stopped;
  private final StatusLogger minutes;
  private final SharedStateServices facts;

  /** {@code stamp} is that of the leader's key, {@code base} and {@code begunWith} as in {@code StoreIncarnationTracker}, {@code waiting} as in {@link RenewalDelegations}. */
  public Leader(ControllerContext env, LeaderContext host, long epoch, long stamp, Collection<MachineType> types, BaseSnapshot base, Copy begunWith, Set<String> waiting) {
    super(env.loop());
    this.env = env;
    this.host = host;
    this.epoch = epoch;
    this.stamp = stamp;
    this.demand = new DemandForecast(spec -> Scheduler.patient(env.settings(), spec));
    this.acquiredAt = env.clock().now();
    this.base = base;
    this.begunWith = begunWith;
    types.forEach(t -> ledger.types.put(t.name(), t));
    this.layout = new ShardLayout(JobProgressCodec.piece(env.settings().stateFloor().valueKb(), env.settings().zones()));
    this.committer = new StateWriter(
        env.settings(), layout, env.store(), env.clock(), env.timers(), env.work(), stamp,
        () -> host.outranked("a commit failed on the steward's key"));
    Hooks hooks = new Hooks();
    this.chains = new DependencyGraph(env, ledger, hooks);
    this.endings = new JobCompletions(env, ledger, committer, chains, (ref, e) -> host.ended(ref, e.phase(), e.tasks(), e.done()));
    this.users = new JobRequestHandler(env, ledger, committer, host::live, hooks);
    this.delegations = new RenewalDelegations(env.settings(), acquiredAt, waiting);
    this.workers = new AgentReconciler(env, ledger, epoch, delegations, this);
    this.cancels = new Cancellations(env, ledger, committer, endings, workers);
    this.outcomes = new AttemptOutcomes(env, ledger, committer, endings, MachineViewPublisher.LATELY, cancels::check, this::changed);
    this.stops = new TaskStopper(env, ledger, workers, outcomes::close, () -> loaded);
    outcomes.stopBy(stops);
    this.reports = new HeartbeatQueue(env.clock(), env.timers(), m -> env.work().run("Report", () -> report(m)), Leader::refuse);
    this.starts = new TaskLauncher(env, ledger, committer, workers, acquiredAt, this::leads);
    this.fleet = new FleetManager(env, ledger, workers, epoch, this);
    this.feed = new MachineViewPublisher(env, ledger,
        (node, v) -> host.post().view(node, epoch, v), (node, m) -> host.post().forget(node, epoch, m));
    this.facts = new SharedStateServices(env, ledger, epoch, stamp, j -> committer.later(j, 0), () -> host.outranked("a fact failed on the steward's key"));
    this.planning = new SchedulingLoop(
        env, ledger, chains, demand, fleet, starts, stops, facts, acquiredAt, this::leads, reports::pressed,
            () -> tell(new LeaderMessage.RunScheduler()));
    this.restarts = new RestartReviewer(env, ledger, committer, stops);
    this.images = new ImageInventory.Publisher(env.operator().roundS());
    this.minutes = new StatusLogger(env, ledger, planning, committer);
    ledger.imagesOf(m -> host.images(m).isEmpty() ? facts.images(m) : host.images(m));
  }

  public void start() {
    takeover = new FailoverRecovery(env, ledger, committer, layout, chains, demand, workers.base(), acquiredAt, base);
    new StoreLoader(env, base, () -> stopped).read((jobs, runs, parts, shared) -> {
      facts.load(shared);
      takeover.read(jobs, runs, parts);
      outcomes.takeOver();
      begin(jobs.epoch());
    });
    scheduleTick();
  }

  public void stop() {
    stopped = true;
    planning.close();
    committer.close();
    facts.close();
    waiting.forEach(Leader::refuse);
    waiting.clear();
    early.refuse();
  }

  public long stamp() {
    return stamp;
  }

  public long epoch() {
    return epoch;
  }

  private void scheduleTick() {
    env.timers().after(env.settings().workers().reportS() / 8, () -> {
      if (!stopped) {
        tell(new LeaderMessage.Tick());
        scheduleTick();
      }
    });
  }

  // ---- taking over

  private void begin(long jobsEpoch) {
    loaded = true;
    begunWith = null;
    loadedAt = env.clock().now();
    planning.begin();
    LOG.info(
        "took over {} jobs, {} ended, {} machines with tasks after {} ms",
        ledger.jobs.size(), ledger.ended.size(), ledger.machines.size(),
        Math.round((env.clock().now() - acquiredAt) * 1000));
    new SubmissionWatcher(env, (job, piece) -> tell(new LeaderMessage.JobAccepted(job, piece)), () -> stopped).from(jobsEpoch);
    List<LeaderMessage> held = new ArrayList<>(waiting);
    waiting.clear();
    held.forEach(this::receive);
    early.drain(env.loop(), this::receive);
    planning.soon();
  }

  // ---- messages

  @Override
  protected void receive(LeaderMessage message) {
    env.work().run(message.getClass().getSimpleName(), () -> take(message));
  }

  private void take(LeaderMessage message) {
    if (stopped) {
      refuse(message);
    } else if (!loaded && message instanceof LeaderMessage.HeartbeatReceived m) {
      early.add(m, env.timers());
    } else if (!loaded && message instanceof LeaderMessage.HeartbeatHandedOver m) {
      early.add(m.report());
    } else if (!loaded && message instanceof LeaderMessage.UserRequest m) {
      // Its user would have gone before the store is read.
      refuse(m);
    } else if (!loaded && !(message instanceof LeaderMessage.Tick)) {
      waiting.add(message);
    } else if (message instanceof LeaderMessage.HeartbeatReceived m) {
      reports.add(m);
    } else if (message instanceof LeaderMessage.HeartbeatHandedOver m) {
      heard(m.report());
    } else if (message instanceof LeaderMessage.UserRequest m) {
      ask(m);
    } else if (message instanceof LeaderMessage.JobAccepted m) {
      jobCreated(m.job(), m.piece());
    } else if (message instanceof LeaderMessage.RestartsProposed m) {
      restarts.propose(m.from(), m.restarts());
    } else if (message instanceof LeaderMessage.Tick) {
      tick();
    } else if (message instanceof LeaderMessage.RunScheduler) {
      planning.make();
    }
  }

  private static void refuse(LeaderMessage message) {
    if (message instanceof LeaderMessage.HeartbeatReceived m) {
      m.reply().tryComplete(null);
    } else if (message instanceof LeaderMessage.UserRequest m) {
      m.reply().complete(HttpResponse.later("no steward yet"));
    }
  }

  private void heard(Heartbeat report) {
    if (!stopped && workers.learn(report)) {
      planning.soon();
    }
  }

  private void report(LeaderMessage.HeartbeatReceived m) {
    if (stopped) {
      refuse(m);
      return;
    }
    Machine known = ledger.machines.get(m.report().machine());
    int openBefore = known == null ? 0 : known.open.size();
    byte[] body = workers.report(m.report(), host.live(), m.via());
    m.reply().complete(body);
    Machine now = ledger.machines.get(m.report().machine());
    if (now != null && now.open.size() != openBefore) {
      planning.soon();
    }
  }

  private void jobCreated(Job job, int piece) {
    String ref = job.spec.ref();
    if (ledger.jobs.containsKey(ref) || ledger.ended.containsKey(ref)) {
      return;
    }
    ledger.jobs.put(ref, job);
    takeover.waitIfUnsure(job);
    layout.know(ref, piece);
    chains.add(job);
    if (!job.held()) {
      demand.seen(job.spec, env.clock().now());
    }
    LOG.debug("job {}: {} x {} of {}", ref, job.spec.tasks(), job.spec.shape(), job.spec.team());
    planning.soon();
  }

  private void ask(LeaderMessage.UserRequest m) {
    switch (m.what()) {
      case POLL -> users.poll(m.ref(), m.reply());
      case ABORT -> users.abort(m.ref(), m.reply());
      case OVERVIEW -> m.reply().complete(HttpResponse.of(200, Json.bytes(overview())));
    }
  }

  /** The jobs that waited, and what users ask for. */
  private final class Hooks implements DependencyGraph.Sink, JobRequestHandler.Host {
    @Override
    public void released(Job job) {
      demand.seen(job.spec, env.clock().now());
      planning.now();
    }

    @Override
    public void cancelled(Job job) {
      endings.follows(job);
      List.copyOf(job.open.values()).forEach(a -> stops.want(a, 0));
    }

    @Override
    public void found(VersionedEntry entry) {
      if (!stopped) {
        jobCreated(JobProgressCodec.readJob(entry.value()), JobProgressCodec.readPiece(entry.value()));
      }
    }

    @Override
    public void cancel(Job job, Promise<HttpResponse> reply) {
      LOG.debug("job {} is to be cancelled", job.spec.ref());
      job.cancelling = true;
      List.copyOf(job.open.values()).forEach(a -> stops.want(a, 0));
      cancels.ask(job, reply);
      planning.soon();
    }

    @Override
    public boolean over() {
      return stopped;
    }

    @Override
    public void describe(Job job, ObjectNode into) {
      facts.describe(job, into);
    }
  }

  // ---- what workers tell

  @Override
  public void running(Attempt a, Machine m) {}

  @Override
  public void exited(Attempt a, Machine m, ExitCause cause, boolean saved) {
    outcomes.exited(a, m, cause, saved);
  }

  @Override
  public void gone(Attempt a, Machine m, String why) {
    outcomes.gone(a, m, why);
  }

  @Override
  public void outranked(long token) {
    host.seenEpoch(FencingTokens.epochOf(token));
    host.outranked("a worker has seen token " + token);
  }

  @Override
  public void changed() {
    planning.soon();
  }

  @Override
  public boolean leads() {
    return !stopped && host.live();
  }

  @Override
  public boolean settled(String ref, int task) {
    Job job = ledger.jobs.get(ref);
    return job == null || !(committer.isDirty(job, task) || committer.isDirty(job, 0));
  }

  // ---- what the fleet tells

  @Override
  public void machineGone(Machine m) {
    if (ledger.machines.get(m.name) != m) {
      return;
    }
    for (Attempt a : List.copyOf(m.open.values())) {
      gone(a, m, "its machine was returned");
    }
    ledger.machines.remove(m.name);
    images.gone(m.name, epoch, host::tellAll);
    workers.deleted(m.name);
    planning.soon();
  }

  @Override
  public Set<String> controllers() {
    return host.controllers();
  }

  /** Another controller is there. */
  public Frame.DelegateHeartbeatAck heard(Frame.DelegateHeartbeat here) {
    if (delegations.another(here)) {
      images.again();
    }
    boolean may = loaded && host.live() && endings.clear(delegations.zoneOf(here.node()));
    return delegations.heard(here, epoch, may, env.clock().now());
  }

  /** How long workers are renewed without a proven lease. */
  public double holdS() {
    return delegations.ownHoldS();
  }

  @Override
  public void unreachable(Attempt a) {
    stops.one(a, 0);
  }

  @Override
  public void deaf() {
    host.resign("most machines are silent");
  }

  // ---- time

  private void tick() {
    if (!loaded || !host.live()) {
      return;
    }
    double now = env.clock().now();
    for (Attempt a : fleet.expired()) {
      gone(a, ledger.machines.get(a.machine), "the worker's lease is over");
    }
    for (Machine m : List.copyOf(ledger.machines.values())) {
      if (stops.drained(m)) {
        fleet.giveBack(m);
      }
      workers.flush(m);
    }
    fleet.tick();
    cancels.checkAll();
    chains.lookUp();
    restarts.carryOut();
    if (now - loadedAt > env.settings().workers().reportS()) {
      // Right after a takeover nothing may take time from live services that does not serve them.
      endings.retire();
      feed.flush(host.controllers());
      images.tell(ledger.machines.values(), epoch, now, host::tellAll);
    }
    facts.tick();
    minutes.tick(now);
    planning.tick(now);
  }

  private ObjectNode overview() {
    return facts.overview(ClusterOverview.of(ledger, chains.waiting())).put("epoch", epoch).put("plans", planning.made()).put("views", feed.sent());
  }

  /** All that is known here of jobs, whether or not the store has it yet; null before it is known. */
  public Copy copy() {
    return loaded ? StateSnapshot.of(ledger, layout::size, facts.copy(), epoch, env.clock().wallMs()) : begunWith;
  }

  public ClusterState ledger() {
    return ledger;
  }
}
