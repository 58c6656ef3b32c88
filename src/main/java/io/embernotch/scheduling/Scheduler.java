package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.Priority;
import io.embernotch.model.JobShape;
import io.embernotch.scheduling.CandidateMachines.Capacity;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Reservation;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.PrimitiveIterator;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Decides where tasks go, what makes room for them, and which machines are rented and returned. A
 * pure function of what it is given: it changes nothing but its own slots.
 *
 * <p>Jobs are taken in order. A job's tasks take room on machines that are up; else they claim room
 * that is coming free, or a machine that is booting; else, if they may, they have others stopped;
 * else a machine is rented for them. What is claimed is not given to anybody behind.
 */
public final class Scheduler implements ReservationPlanner.Host {
  private final Settings settings;
  private final OperatorSettings operator;
  private final int mostNew;

  private double now;
  private QuotaUsage usage;
  private CandidateMachines candidates;
  private ScaleOutPlanner scaleOutPlanner;
  private Preemption preemption;
  private BootQueueing queueing;
  private TopologySpread spread;
  private GangAccumulation gangAccumulation;
  private SchedulingPlan plan;
  /** Slots that may be filled at present. */
  private Predicate<CandidateMachine> only = candidate -> true;

  public Scheduler(Settings settings, OperatorSettings operator) {
    this.settings = settings;
    this.operator = operator;
    // More could not be asked for in a second.
    this.mostNew = (int) Math.max(1, settings.cloudLimits().rps()) * Settings.CloudLimits.MAX_RENT;
  }

  public SchedulingPlan plan(SchedulingInput at) {
    List<Job> order = placeLive(at);
    // Room for the next live service goes before all other work, or that would fill it.
    new ReservationPlanner(at.reservations(), candidates, this).reserve();
    List<FleetView.Headroom> free = at.headroom().stream().filter(h -> !at.reservations().serves(h.like())).toList();
    free.stream().filter(h -> h.like().priority() == Priority.PRODUCTION).forEach(this::keepFree);
    gangAccumulation = new GangAccumulation(candidates, settings, scaleOutPlanner, now, at.wallMs());
    gangAccumulation.reserveMachines(order);
    order.forEach(this::place);
    free.stream().filter(h -> h.like().priority() != Priority.PRODUCTION).forEach(this::keepFree);
    scaleOutPlanner.addTo(plan);
    collectReturns();
    plan.reserved = candidates.reserved();
    return plan;
  }

  /** The same for live services alone: a fraction of the time, where a whole plan would keep them waiting. */
  public SchedulingPlan liveOnly(SchedulingInput at) {
    placeLive(at);
    scaleOutPlanner.addTo(plan);
    return plan;
  }

  /** Places live services, and returns the other jobs in their order. */
  private List<Job> placeLive(SchedulingInput at) {
    now = at.now();
    plan = new SchedulingPlan();
    usage = new QuotaUsage(settings.teams(), at.jobs());
    usage.markGuaranteed(at.jobs());
    candidates = CandidateMachines.of(at.machines(), this::usable, now, at.reservations());
    at.expected().forEach(e -> candidates.add(e, at.types().get(e.type())));
    scaleOutPlanner = new ScaleOutPlanner(at.types(), at.pools(), candidates, mostNew);
    preemption = new Preemption(settings, candidates, plan, now);
    queueing = new BootQueueing(at.jobs(), at.types());
    spread = new TopologySpread(candidates, at.risk());
    List<Job> order = JobOrdering.of(at.jobs(), settings, candidates, at.wallMs());
    int live = 0;
    while (live < order.size() && order.get(live).spec.priority() == Priority.PRODUCTION) {
      place(order.get(live++));
    }
    return order.subList(live, order.size());
  }

  private boolean usable(Machine machine) {
    return usable(machine, now, settings);
  }

  /** Something may be started there now, if there is room. */
  public static boolean usable(Machine machine, double now, Settings settings) {
    return machine.avoidUntil <= now && !machine.suspectedUnreachable() && now - machine.lastSignOfLifeAt() < 2 * settings.workers().heartbeatIntervalS();
  }

  private void place(Job job) {
    if (Math.max(job.backoffUntil, job.notBefore) > now) {
      return;
    }
    if (job.spec.shape() == JobShape.GANG) {
      placeGang(job);
    } else {
      placeTasks(job);
    }
  }

  private void placeTasks(Job job) {
    JobSpec spec = job.spec;
    // One task is enough to see whether a job that fails everywhere still does.
    int most = job.failsEverywhere() ? Math.min(1, job.pendingCount()) : job.pendingCount();
    int wanted = Math.min(most, usage.remainingTasks(spec));
    if (wanted <= 0) {
      return;
    }
    // Not all of a hundred thousand tasks are looked at when there is room for a few.
    PrimitiveIterator.OfInt tasks = job.pending();
    ZoneConstraints zones = ZoneConstraints.of(job);
    if (spec.oneZone() && zones.requiredZone == null) {
      zones.requiredZone = bestZone(spec, wanted);
    }
    List<SchedulingPlan.Placement> placements = new ArrayList<>();
    BitSet granted = grantWishes(job, wanted, zones, placements);
    wanted -= placements.size();
    int[] placed = new int[1];
    Taken start =
        (slot, n) -> {
          slot.addFetchingImage(spec.image());
          for (int i = 0; i < n; placed[0]++, i++) {
            int task = tasks.nextInt();
            while (granted.get(task)) {
              task = tasks.nextInt();
            }
            placements.add(new SchedulingPlan.Placement(task, slot.machine));
          }
        };
    int claimed = 0;
    if (spec.priority() == Priority.PRODUCTION && spec.shape() == JobShape.SERVICE && job.restartedTasks.get(job.firstPending())) {
      claimed = bringBack(spec, wanted, zones, start);
    }
    fill(spec, Capacity.FREE, wanted - placed[0] - claimed, zones, start);
    claimed += claimLater(job, wanted - placed[0] - claimed, zones);
    usage.add(spec, placed[0] + claimed);
    if (!placements.isEmpty()) {
      plan.starts.add(new SchedulingPlan.Start(job, placements));
    }
  }

  /**
   * Replicas that were lost go where their image is, if need be in place of lesser work: fetching
   * it anew would keep them down for longer than anything else does. Tells how many claim room so.
   */
  private int bringBack(JobSpec spec, int wanted, ZoneConstraints zones, Taken start) {
    only = candidate -> candidate.fetchS(spec) == 0;
    int placed = fill(spec, Capacity.FREE, wanted, zones, start);
    int claimed = fill(spec, Capacity.FREEING, wanted - placed, zones, (candidate, n) -> {});
    claimed += preemption.preempt(spec, wanted - placed - claimed, zones, only);
    only = candidate -> true;
    return claimed;
  }

  /** Tasks that the straggler rounds have sent to a machine go there if they still can; tells which. */
  private BitSet grantWishes(Job job, int wanted, ZoneConstraints zones, List<SchedulingPlan.Placement> placements) {
    BitSet granted = new BitSet();
    if (job.preferredMachines.isEmpty()) {
      return granted;
    }
    for (PrimitiveIterator.OfInt tasks = job.pending(); tasks.hasNext() && placements.size() < wanted; ) {
      int task = tasks.nextInt();
      String wish = job.preferredMachines.get(task);
      if (wish == null) {
        continue;
      }
      for (CandidateMachine candidate : candidates.candidates(Capacity.FREE, job.spec, candidate -> zones.remaining(candidate.zone) > 0, candidate -> 0)) {
        if (candidate.machine.name.equals(wish)) {
          take(candidate, job.spec, 1, zones);
          usage.add(job.spec, 1);
          granted.set(task);
          placements.add(new SchedulingPlan.Placement(task, candidate.machine));
          break;
        }
      }
    }
    return granted;
  }

  private interface Taken {
    void by(CandidateMachine slot, int tasks);
  }

  /**
   * Nothing of this was promised to anybody: it takes what there is and what is cheap. A guest's array of
   * thousands of tasks once had every machine of the cloud rented, and then there was none for the others.
   */
  public static boolean mayWaitForCapacity(Settings settings, JobSpec spec) {
    return spec.priority() == Priority.LOW || (spec.priority() != Priority.PRODUCTION && settings.guest(spec.team()));
  }

  /** Gives up to {@code wanted} tasks such room, best slots first; tells how many got it. */
  private int fill(JobSpec spec, Capacity room, int wanted, ZoneConstraints zones, Taken taken) {
    return fill(spec, room, wanted, zones, candidate -> PlacementScore.of(spec, candidate, zones), taken);
  }

  private int fill(
      JobSpec spec, Capacity room, int wanted, ZoneConstraints zones, ToDoubleFunction<CandidateMachine> score, Taken taken) {
    if (wanted <= 0) {
      return 0;
    }
    boolean keepOff = keepsOffOrdinary(spec);
    int done = 0;
    List<CandidateMachine> found = candidates.candidates(room, spec, candidate -> only.test(candidate) && zones.remaining(candidate.zone) > 0 && !(keepOff && dear(spec, candidate)), score);
    if (spec.shape() == JobShape.SERVICE && spec.tasks() > 1 && room == Capacity.FREE) {
      return spread.place(found, spec, wanted, zones, score, candidate -> {
        take(candidate, spec, 1, zones);
        taken.by(candidate, 1);
      });
    }
    for (CandidateMachine candidate : found) {
      int n = Math.min(Math.min(candidate.taskCapacity(spec, room == Capacity.FREEING), wanted - done), zones.remaining(candidate.zone));
      if (n > 0) {
        take(candidate, spec, n, zones);
        taken.by(candidate, n);
        done += n;
      }
      if (done == wanted) {
        break;
      }
    }
    return done;
  }

  private static void take(CandidateMachine candidate, JobSpec spec, int tasks, ZoneConstraints zones) {
    candidate.allocate(spec, tasks);
    candidate.claimed = true;
    zones.add(candidate.zone, tasks);
  }

  /** Claims room that will be there: freed, made by stopping others, booting, or rented. */
  private int claimLater(Job job, int wanted, ZoneConstraints zones) {
    JobSpec spec = job.spec;
    Taken nothing = (candidate, n) -> {};
    int done = fill(spec, Capacity.FREEING, wanted, zones, nothing);
    if (done < wanted && spec.priority() == Priority.PRODUCTION) {
      done += preemption.preempt(spec, wanted - done, zones, candidate -> true);
    }
    done += claimNew(queueing.queuedSpec(spec), wanted - done, zones);
    if (done < wanted && settings.zones().stream().noneMatch(z -> zones.remaining(z) > 0 && scaleOutPlanner.available(spec, z))) {
      done += preemption.preemptBeyondGuarantee(job, wanted - done, zones);
    }
    return done;
  }

  private int claimNew(JobSpec spec, int wanted, ZoneConstraints zones) {
    Taken nothing = (candidate, n) -> {};
    int done = fill(spec, Capacity.BOOTING, wanted, zones, nothing);
    done += fill(spec, Capacity.SCALE_OUT, wanted - done, zones, nothing);
    boolean cheapOnly = mayWaitForCapacity(settings, spec) && spec.spot() && (candidates.anySpot() || scaleOutPlanner.spotAvailable(spec));
    boolean ordinaryToo = !cheapOnly && queueing.worthOrdinaryMachine(spec);
    while (done < wanted) {
      CandidateMachine candidate = scaleOutPlanner.request(spec, zones, ordinaryToo);
      if (candidate == null) {
        break;
      }
      int n = Math.min(Math.min(candidate.taskCapacity(spec, false), wanted - done), zones.remaining(candidate.zone));
      take(candidate, spec, n, zones);
      done += n;
    }
    return done;
  }

  /**
   * Work that may run on spot machines keeps off ordinary ones while spot machines are to be had,
   * unless a service holds the machine anyway: it would only keep it from being returned.
   */
  private boolean keepsOffOrdinary(JobSpec spec) {
    return spec.spot() && spec.shape() == JobShape.ARRAY && scaleOutPlanner.spotAvailable(spec);
  }

  private static boolean dear(JobSpec spec, CandidateMachine candidate) {
    return !candidate.spot && !candidate.paidFor(spec);
  }

  /** The zone where most tasks could start at once, then where most could start later. */
  private String bestZone(JobSpec spec, int wanted) {
    String best = null;
    double bestScore = -1;
    for (String zone : settings.zones()) {
      if (spec.zone() != null && !spec.zone().equals(zone)) {
        continue;
      }
      double ready = 0;
      double coming = 0;
      ZoneConstraints here = new ZoneConstraints(spec, zone);
      for (CandidateMachine candidate : candidates.candidates(Capacity.FREEING, spec, candidate -> here.remaining(candidate.zone) > 0, candidate -> 0)) {
        int n = candidate.taskCapacity(spec, false);
        // Room that is being made must decide the zone, or the next plan makes room in another.
        ready += n > 0 ? n : 0.9;
      }
      for (CandidateMachine candidate : candidates.candidates(Capacity.BOOTING, spec, candidate -> here.remaining(candidate.zone) > 0, candidate -> 0)) {
        coming += candidate.taskCapacity(spec, false);
      }
      double score = Math.min(ready, wanted) + Math.min(0.5, coming / 4) + (scaleOutPlanner.available(spec, zone) ? 0.1 : 0);
      if (score > bestScore) {
        bestScore = score;
        best = zone;
      }
    }
    return best;
  }

  /** All tasks start or none: what can't start now holds its claims until the rest is there. */
  private void placeGang(Job job) {
    JobSpec spec = job.spec;
    if (!job.openAttempts.isEmpty()) {
      return;
    }
    if (usage.remainingTasks(spec) < spec.tasks()) {
      if (gangAccumulation.aged(job)) {
        // Else its team's smaller jobs would use up the limit for as long as they come.
        usage.add(spec, spec.tasks());
      }
      return;
    }
    usage.add(spec, spec.tasks());
    String first = spec.oneZone() ? bestZone(spec, spec.tasks()) : null;
    if (startGang(job, first)) {
      return;
    }
    if (spec.oneZone()) {
      for (String zone : settings.zones()) {
        if (!zone.equals(first) && (spec.zone() == null || spec.zone().equals(zone)) && startGang(job, zone)) {
          return;
        }
      }
      if (first == null) {
        return;
      }
    }
    ZoneConstraints zones = new ZoneConstraints(spec, first);
    int now = fill(spec, Capacity.FREE, spec.tasks(), zones, (candidate, n) -> {});
    claimLater(job, spec.tasks() - now, zones);
  }

  private boolean startGang(Job job, String zone) {
    JobSpec spec = job.spec;
    ZoneConstraints zones = new ZoneConstraints(spec, zone);
    List<CandidateMachine> hosts = candidates.candidates(Capacity.FREE, spec, candidate -> zones.remaining(candidate.zone) > 0, candidate -> PlacementScore.of(spec, candidate, zones));
    ZoneConstraints probe = new ZoneConstraints(spec, zone);
    int there = 0;
    for (CandidateMachine candidate : hosts) {
      int n = Math.min(Math.min(candidate.taskCapacity(spec, false), spec.tasks() - there), probe.remaining(candidate.zone));
      probe.add(candidate.zone, n);
      there += n;
    }
    if (there < spec.tasks()) {
      return false;
    }
    List<SchedulingPlan.Placement> placements = new ArrayList<>();
    for (CandidateMachine candidate : hosts) {
      int n = Math.min(Math.min(candidate.taskCapacity(spec, false), spec.tasks() - placements.size()), zones.remaining(candidate.zone));
      if (n > 0) {
        take(candidate, spec, n, zones);
        for (int i = 0; i < n; i++) {
          placements.add(new SchedulingPlan.Placement(placements.size(), candidate.machine));
        }
      }
    }
    plan.starts.add(new SchedulingPlan.Start(job, placements));
    return true;
  }

  /** Holds room for what may come, renting if there is too little. */
  private void keepFree(FleetView.Headroom h) {
    ZoneConstraints anywhere = ZoneConstraints.anywhere();
    // Nobody knows the next job's image, so machines that have many are kept, and young ones returned.
    ToDoubleFunction<CandidateMachine> score = candidate -> -PlacementScore.PACKING_WEIGHT_S * candidate.utilization() - (candidate.machine == null ? 0 : candidate.machine.images.size());
    int now = fill(h.like(), Capacity.FREE, h.count(), anywhere, score, (candidate, n) -> {});
    if (h.like().shape() == JobShape.GANG) {
      now += fill(h.like(), Capacity.FREEING, h.count() - now, anywhere, score, (candidate, n) -> {});
    }
    claimNew(h.like(), h.count() - now, anywhere);
  }

  @Override
  public int claimLater(JobSpec like, int n) {
    int done = fill(like, Capacity.FREEING, n, ZoneConstraints.anywhere(), (candidate, k) -> {});
    return done + claimNew(like, n - done, ZoneConstraints.anywhere());
  }

  @Override
  public void preemptFor(JobSpec like, int n, Reservation r) {
    if (settings.zones().stream().noneMatch(z -> scaleOutPlanner.available(like, z))) {
      preemption.preempt(like, n, ZoneConstraints.anywhere(), candidate -> !candidate.spot && r.allowsType(candidate.type.name()));
    }
  }

  private void collectReturns() {
    for (CandidateMachine candidate : candidates.all()) {
      if (candidate.state == CandidateMachine.State.UP
          && !candidate.claimed
          && candidate.machine.openAttempts.isEmpty()
          && now - candidate.machine.idleSince > operator.keepIdleBoots() * candidate.type.bootS()) {
        plan.scaleIns.add(candidate.machine);
      }
    }
  }
}
