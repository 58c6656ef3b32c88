package io.embernotch.steward;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Actor;
import io.embernotch.actor.Latencies;
import io.embernotch.codec.Json;
import io.embernotch.codec.RunCodec;
import io.embernotch.http.Answer;
import io.embernotch.model.Attempt;
import io.embernotch.model.Cause;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.model.Phase;
import io.embernotch.model.Priority;
import io.embernotch.model.Shape;
import io.embernotch.model.WorkerReport;
import io.embernotch.peer.Frame;
import io.embernotch.plan.Plan;
import io.embernotch.plan.Planner;
import io.embernotch.store.Changes;
import io.embernotch.store.Entry;
import io.embernotch.store.Pacer.Rank;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.Restart;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one that writes, for one stewardship: it owns the ledger, and lives from the moment its node
 * acquires the key until it loses it.
 */
final class Steward extends Actor<StewardMessage> implements Workers.Outcome, FleetKeeper.Outcome {
  private static final Logger LOG = LoggerFactory.getLogger(Steward.class);

  /** What a steward needs of its controller. */
  interface Host {
    boolean live();

    Set<String> controllers();

    void view(String controller, long epoch, MachineView view);

    void forget(String controller, long epoch, String machine);

    void outranked(String why);

    /** Gives leadership up, since this node is badly placed for it. */
    void resign(String why);

    void ended(String ref, Phase phase, int tasks, int done);

    /** Says something to all other controllers. */
    void tellAll(Frame frame);

    /** What an earlier steward said of a machine's images. */
    List<String> images(String machine);
  }

  private final Env env;
  private final Host host;
  private final long epoch;
  private final Ledger ledger = new Ledger();
  private final Committer committer;
  private final Workers workers;
  private final FleetKeeper fleet;
  private final StragglerFeed feed;
  private final Planner planner;
  private final RestartDesk restarts;
  private final Blame blame;
  private final ImageNews.Teller images;
  private final Demand demand = new Demand();
  private final Layout layout;
  private final Chains chains;
  private final Endings endings;
  private final UserDesk users;
  private final Wards wards;
  private final Cancels cancels;
  private final Stops stops;
  private final Starts starts;
  private final ReportQueue reports;
  private final double acquiredAt;
  private final List<StewardMessage> waiting = new ArrayList<>();
  private final EarlyReports early = new EarlyReports();
  private boolean loaded;
  private double loadedAt;
  private boolean stopped;
  private boolean planArmed;
  /** A job has been let go, and a plan is to be made in this turn. */
  private boolean planAsked;
  private double plannedAt = -1e9;
  private double planTookS;
  private long planned;
  private final Latencies plans = new Latencies();
  private double summedAt = -1e9;

  Steward(Env env, Host host, long epoch, Collection<MachineType> types) {
    super(env.loop());
    this.env = env;
    this.host = host;
    this.epoch = epoch;
    this.acquiredAt = env.clock().now();
    types.forEach(t -> ledger.types.put(t.name(), t));
    this.layout = new Layout(RunCodec.piece(env.settings().stateFloor().valueKb(), env.settings().zones()));
    this.committer =
        new Committer(
            env.settings(), layout, env.store(), env.clock(), env.timers(), env.work(), epoch,
            () -> host.outranked("a commit failed on the steward's key"));
    Hooks hooks = new Hooks();
    this.chains = new Chains(env, ledger, hooks);
    this.endings = new Endings(env, ledger, committer, chains, (ref, e) -> host.ended(ref, e.phase(), e.tasks(), e.done()));
    this.users = new UserDesk(env, ledger, committer, host::live, hooks);
    this.wards = new Wards(env.settings(), acquiredAt);
    this.workers = new Workers(env, ledger, epoch, wards, this);
    this.cancels = new Cancels(env, ledger, committer, endings, workers);
    this.stops = new Stops(env, ledger, workers, this::close, () -> loaded);
    this.reports = new ReportQueue(env.timers(), m -> env.work().run("Report", () -> report(m)));
    this.starts = new Starts(env, ledger, committer, workers, acquiredAt, this::leads);
    this.fleet = new FleetKeeper(env, ledger, workers, epoch, this);
    this.feed =
        new StragglerFeed(
            env, ledger, (node, v) -> host.view(node, epoch, v), (node, m) -> host.forget(node, epoch, m));
    this.planner = new Planner(env.settings(), env.operator());
    this.restarts = new RestartDesk(env, ledger);
    this.blame = new Blame(env, ledger);
    this.images = new ImageNews.Teller(env.operator().roundS());
    ledger.imagesOf(host::images);
  }

  void start() {
    load();
    scheduleTick();
  }

  void stop() {
    stopped = true;
    committer.close();
    for (StewardMessage m : waiting) {
      refuse(m);
    }
    waiting.clear();
    early.refuse();
  }

  long epoch() {
    return epoch;
  }

  private void scheduleTick() {
    env.timers().after(env.settings().workers().reportS() / 8, () -> {
      if (!stopped) {
        tell(new StewardMessage.Tick());
        scheduleTick();
      }
    });
  }

  // ---- taking over

  private void load() {
    if (stopped) {
      return;
    }
    env.store()
        .list(RunCodec.JOB)
        .compose(
            jobs ->
                env.store()
                    .list(RunCodec.RUN)
                    .compose(runs -> env.store().list(RunCodec.PART).map(parts -> read(jobs, runs, parts))))
        .onSuccess(
            jobsEpoch -> {
              if (!stopped) {
                begin(jobsEpoch);
              }
            })
        .onFailure(
            e -> {
              LOG.info("reading the store failed: {}", e.getMessage());
              env.timers().after(env.settings().workers().reportS() / 10, this::load);
            });
  }

  private long read(Changes jobs, Changes runs, Changes parts) {
    new Takeover(env, ledger, committer, layout, chains, demand, workers.base(), acquiredAt).read(jobs, runs, parts);
    endings.takeOver();
    for (Job job : ledger.jobs.values()) {
      if (job.end == Phase.CANCELLED) {
        List.copyOf(job.open.values()).forEach(a -> stops.want(a, 0));
      } else if (job.spec.shape() == Shape.GANG && job.open.size() < job.spec.tasks() && !job.open.isEmpty()) {
        stops.breakGang(job, 0);
      }
    }
    return jobs.epoch();
  }

  private void begin(long jobsEpoch) {
    loaded = true;
    loadedAt = env.clock().now();
    env.timers().after(firstS(), this::planSoon);
    LOG.info(
        "took over {} jobs, {} ended, {} machines with tasks after {} ms",
        ledger.jobs.size(), ledger.ended.size(), ledger.machines.size(),
        Math.round((env.clock().now() - acquiredAt) * 1000));
    new JobWatch(env, new JobWatch.Sink() {
      @Override
      public void seen(StewardMessage.JobCreated job) {
        tell(job);
      }

      @Override
      public boolean over() {
        return stopped;
      }
    }).from(jobsEpoch);
    List<StewardMessage> held = new ArrayList<>(waiting);
    waiting.clear();
    held.forEach(this::receive);
    early.drain(env.loop(), this::receive);
    planSoon();
  }

  // ---- messages

  @Override
  protected void receive(StewardMessage message) {
    env.work().run(message.getClass().getSimpleName(), () -> take(message));
  }

  private void take(StewardMessage message) {
    if (stopped) {
      refuse(message);
    } else if (!loaded && message instanceof StewardMessage.Report m) {
      early.add(m, env.timers());
    } else if (!loaded && message instanceof StewardMessage.Heard m) {
      early.add(m.report());
    } else if (!loaded && message instanceof StewardMessage.Ask m) {
      // Its user would have gone before the store is read.
      refuse(m);
    } else if (!loaded && !(message instanceof StewardMessage.Tick)) {
      waiting.add(message);
    } else if (message instanceof StewardMessage.Report m) {
      reports.add(m);
    } else if (message instanceof StewardMessage.Heard m) {
      heard(m.report());
    } else if (message instanceof StewardMessage.Ask m) {
      ask(m);
    } else if (message instanceof StewardMessage.JobCreated m) {
      jobCreated(m.job(), m.piece());
    } else if (message instanceof StewardMessage.Propose m) {
      restarts.propose(m.from(), m.restarts());
    } else if (message instanceof StewardMessage.Tick) {
      tick();
    } else if (message instanceof StewardMessage.MakePlan) {
      makePlan();
    }
  }

  private static void refuse(StewardMessage message) {
    if (message instanceof StewardMessage.Report m) {
      m.reply().tryComplete(null);
    } else if (message instanceof StewardMessage.Ask m) {
      m.reply().complete(Answer.later("no steward yet"));
    }
  }

  private void heard(WorkerReport report) {
    if (!stopped && workers.learn(report)) {
      planSoon();
    }
  }

  private void report(StewardMessage.Report m) {
    if (stopped) {
      refuse(m);
      return;
    }
    Machine known = ledger.machines.get(m.report().machine());
    int openBefore = known == null ? 0 : known.open.size();
    byte[] body = workers.report(m.report(), host.live());
    m.reply().complete(body);
    Machine now = ledger.machines.get(m.report().machine());
    if (now != null && now.open.size() != openBefore) {
      planSoon();
    }
  }

  private void jobCreated(Job job, int piece) {
    String ref = job.spec.ref();
    if (ledger.jobs.containsKey(ref) || ledger.ended.containsKey(ref)) {
      return;
    }
    ledger.jobs.put(ref, job);
    layout.know(ref, piece);
    chains.add(job);
    if (!job.held()) {
      demand.seen(job.spec, env.clock().now());
    }
    LOG.debug("job {}: {} x {} of {}", ref, job.spec.tasks(), job.spec.shape(), job.spec.team());
    planSoon();
  }

  private void ask(StewardMessage.Ask m) {
    switch (m.what()) {
      case POLL -> users.poll(m.ref(), m.reply());
      case ABORT -> users.abort(m.ref(), m.reply());
      case OVERVIEW -> m.reply().complete(Answer.of(200, Json.bytes(overview())));
    }
  }

  /** The jobs that waited, and what users ask for. */
  private final class Hooks implements Chains.Sink, UserDesk.Host {
    @Override
    public void released(Job job) {
      demand.seen(job.spec, env.clock().now());
      // In the turn of the commit's answer, whatever the pace of plans: few jobs are let go in a second.
      if (!planAsked) {
        planAsked = true;
        tell(new StewardMessage.MakePlan());
      }
    }

    @Override
    public void cancelled(Job job) {
      endings.follows(job);
      List.copyOf(job.open.values()).forEach(a -> stops.want(a, 0));
    }

    @Override
    public void found(Entry entry) {
      if (!stopped) {
        jobCreated(RunCodec.readJob(entry.value()), RunCodec.readPiece(entry.value()));
      }
    }

    @Override
    public void cancel(Job job, Promise<Answer> reply) {
      LOG.debug("job {} is to be cancelled", job.spec.ref());
      job.cancelling = true;
      List.copyOf(job.open.values()).forEach(a -> stops.want(a, 0));
      cancels.ask(job, reply);
      planSoon();
    }

    @Override
    public boolean over() {
      return stopped;
    }
  }

  // ---- what workers tell

  @Override
  public void running(Attempt a, Machine m) {
    // A gang counts as started with its first running task; nothing else hangs on it here.
  }

  @Override
  public void exited(Attempt a, Machine m, Cause cause, boolean saved) {
    Job job = a.job;
    double now = env.clock().now();
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "{} exited: {}{}; {} s after its start, {} s of them running, {} s expected", a, cause,
          saved ? ", saved" : "", Math.round(now - a.createdAt),
          a.runningAt < 0 ? 0 : Math.round(now - a.runningAt), Math.round(job.spec.expectS()));
    }
    if (cause == Cause.DONE && job.spec.shape() != Shape.SERVICE) {
      finished(a, m, now);
    } else {
      failed(a, m, cause, now);
    }
    close(a);
  }

  private void finished(Attempt a, Machine m, double now) {
    Job job = a.job;
    blame.cleared(job, m);
    if (a.runningAt >= 0 && !job.restarted.get(a.task) && !job.done.get(a.task)) {
      double ran = Math.max(0.1, now - a.runningAt);
      job.finishedSumS += ran;
      job.finishedCount++;
      m.finished(job.meanS() / ran, StragglerFeed.LATELY);
    }
    if (job.end != null) {
      return;
    }
    if (job.spec.shape() == Shape.GANG) {
      // A gang completes together: when one task is done, every task is.
      job.done.set(0, job.spec.tasks());
    } else {
      job.done.set(a.task);
    }
    if (job.remaining() == 0) {
      endings.decide(job, Phase.DONE);
      for (Attempt other : job.open.values()) {
        other.stopping = false;
        touched(other);
      }
    }
  }

  private void failed(Attempt a, Machine m, Cause cause, double now) {
    Job job = a.job;
    double report = env.settings().workers().reportS();
    switch (cause) {
      case ERROR -> blame.failed(a, m, now);
      case NO_ROOM, BUSY -> m.avoidUntil = now + report;
      case UNKNOWN -> job.backoffUntil = now + report / 3;
      default -> { }
    }
    if (job.spec.shape() == Shape.GANG && job.end == null) {
      stops.breakGang(job, a.stopping ? a.stopGraceS : 0);
    }
  }

  @Override
  public void gone(Attempt a, Machine m, String why) {
    LOG.info("{} is gone: {}", a, why);
    if (a.job.spec.shape() == Shape.GANG && a.job.end == null) {
      stops.breakGang(a.job, 0);
    }
    close(a);
  }

  private void touched(Attempt a) {
    Machine m = ledger.machines.get(a.machine);
    if (m != null) {
      m.touched();
    }
  }

  private void close(Attempt a) {
    ledger.close(a, env.clock().now());
    if (a.start != Attempt.Start.UNCOMMITTED && a.start != Attempt.Start.READY) {
      a.job.restarted.set(a.task);
    }
    committer.later(a.job, a.task);
    cancels.check(a.job);
    planSoon();
  }

  @Override
  public void outranked(long token) {
    host.outranked("a worker has seen token " + token);
  }

  @Override
  public void changed() {
    planSoon();
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
    planSoon();
  }

  @Override
  public Set<String> controllers() {
    return host.controllers();
  }

  /** Another controller is there; it may be given the right to renew its zone's workers. */
  Frame.Noted heard(Frame.Here here) {
    boolean may = loaded && host.live() && endings.clear(wards.zoneOf(here.node()));
    return wards.heard(here, epoch, may, env.clock().now());
  }

  /** How long workers are renewed without a proven lease. */
  double holdS() {
    return wards.ownHoldS();
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
    for (Restart r : restarts.due()) {
      restart(r);
    }
    if (now - loadedAt > env.settings().workers().reportS()) {
      // Right after a takeover nothing may take time from live services that does not serve them.
      endings.retire();
      feed.flush(host.controllers());
      images.tell(ledger.machines.values(), epoch, now, host::tellAll);
    }
    if (now - summedAt > env.settings().workers().leaseS() / 2) {
      summedAt = now;
      LOG.info("{}", Summary.of(ledger));
      String planned = plans.line();
      if (planned != null) {
        LOG.info("planned: {}", planned);
      }
      env.work().log();
      String commits = committer.line();
      if (commits != null) {
        LOG.info("written: {}", commits);
      }
    }
    if (now - plannedAt > env.settings().workers().reportS() / 3) {
      planSoon();
    }
  }

  private void restart(Restart r) {
    Job job = ledger.jobs.get(r.ref());
    Attempt a = job.open.get(r.task());
    LOG.info("restarting slow task {} on {} (gain {})", a, r.target(), String.format("%.4f", r.gain()));
    job.wishes.put(r.task(), r.target());
    committer.now(job, r.task(), Rank.USUAL, () -> {
      if (Ledger.isOpen(a) && !a.stopping && job.end == null) {
        stops.want(a, a.job.spec.checkpointS() > 0 ? a.job.spec.saveS() : 0);
      }
    });
  }

  // ---- planning

  private void planSoon() {
    if (!planArmed && loaded && !stopped) {
      planArmed = true;
      // However long a plan takes, most of the time stays for reports.
      double spacing = Math.max(env.settings().workers().reportS() / 60, 4 * planTookS);
      double wait = Math.max(0.001, plannedAt + spacing - env.clock().now());
      env.timers().after(wait, () -> tell(new StewardMessage.MakePlan()));
    }
  }

  private void makePlan() {
    planArmed = false;
    planAsked = false;
    double now = env.clock().now();
    if (!host.live() || (!fleet.listedOnce() && now - acquiredAt < env.settings().workers().reportS() && ledger.machines.isEmpty())) {
      return;
    }
    plannedAt = now;
    planned++;
    chains.inherit();
    boolean liveFirst = liveWaits(now);
    Plan plan =
        liveFirst
            ? planner.liveOnly(
                now, ledger.jobs.values(), ledger.machines.values(), ledger.types, fleet::exhausted, fleet.expected())
            : planner.plan(
                now, ledger.jobs.values(), ledger.machines.values(), ledger.types, fleet::exhausted, fleet.expected(),
                demand.headroom(env.operator(), ledger.types.values(), ledger.jobs.values(), now));
    planTookS = env.clock().now() - now;
    plans.record(liveFirst ? "live plan" : "plan", planTookS);
    for (Plan.Stop s : plan.stops) {
      LOG.info("stopping {}: {}", s.attempt(), s.why());
      stops.one(s.attempt(), s.graceS());
    }
    for (Plan.Start s : plan.starts) {
      starts.begin(s, now);
    }
    if (fleet.listedOnce()) {
      plan.buys.forEach(fleet::rent);
    }
    if (fleet.answers()) {
      for (Machine m : plan.returns) {
        LOG.debug("machine {} is idle", m.name);
        fleet.giveBack(m);
      }
    }
  }

  /**
   * Right after a takeover live services have plans of their own. The first whole plan takes some 0.4 s on
   * a starved core, knows few machines yet, and keeps the next one waiting for four times that.
   */
  private boolean liveWaits(double now) {
    return now - loadedAt < firstS()
        && ledger.jobs.values().stream().anyMatch(j -> j.spec.priority() == Priority.PRODUCTION && j.pendingCount() > 0);
  }

  /** So long after a takeover live services come before what else there is to do. */
  private double firstS() {
    return env.settings().workers().reportS() / 2;
  }

  private ObjectNode overview() {
    return Overview.of(ledger, chains.waiting()).put("epoch", epoch).put("plans", planned).put("views", feed.sent());
  }

  /** Malformed proposals of peers are dropped by the desk; this is for tests. */
  Ledger ledger() {
    return ledger;
  }
}
