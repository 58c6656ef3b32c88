package io.embernotch.scheduling;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineLoad;
import io.embernotch.model.MachineType;
import io.embernotch.model.Priority;
import java.util.HashSet;
import java.util.Set;

/** A machine while a plan is made: one that is up, one that is booting, or one to be rented. */
final class CandidateMachine {
  /** How far a machine is from running tasks. */
  enum State {
    /** Up: tasks can start. */
    UP,
    /** Booting, or requested from the cloud. */
    BOOTING,
    /** To be rented by this plan. */
    SCALE_OUT
  }

  /** Most tasks that a machine is ever taken to have capacity for. */
  private static final double MAX_TASKS = 10_000;

  /** Owners' estimates of run times are often wrong by half. */
  static final double ESTIMATE_MARGIN = 1.5;

  final State state;

  /** Null unless the cloud has listed the machine. */
  final Machine machine;

  final MachineType type;
  final String zone;
  final boolean spot;

  /** Free capacity. */
  private double cpus;

  private double gpus;
  private double memGb;

  /** Capacity that is freed once the attempts that are being stopped have ended. */
  private double freeingCpus;

  private double freeingGpus;
  private double freeingMemGb;

  /** Needed by this plan, and so not returned. */
  private boolean claimed;

  /** Runs work that may not run on spot machines, so it is paid for whatever else it does. */
  private boolean pinned;

  /** Lowest priority of the attempts that are not being stopped; null if there are none. */
  private Priority lowestPriority;

  /** The gang for which this machine accumulates capacity for one task; null if none. */
  private String accumulatingFor;

  /** Seconds until it has accumulated that capacity. */
  private double accumulatedInS;

  /** How well it suits the job that is being placed: less is better. */
  double score;

  /** What is reserved here; null if nothing. */
  MachineReservation reservation;

  /** Images that are being fetched; shared with the machine's load until this plan adds to it. */
  private Set<String> fetchingImages = Set.of();

  private boolean ownsFetchingImages;

  CandidateMachine(State state, Machine machine, MachineType type, String zone, boolean spot) {
    this.state = state;
    this.machine = machine;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.cpus = type.cpus();
    this.gpus = type.gpus();
    this.memGb = type.memGb();
  }

  /** A machine of the fleet with its present load. */
  static CandidateMachine of(State state, Machine machine) {
    CandidateMachine candidate =
        new CandidateMachine(state, machine, machine.type, machine.zone, machine.spot);
    MachineLoad load = machine.load();
    candidate.cpus -= load.cpus;
    candidate.gpus -= load.gpus;
    candidate.memGb -= load.memGb;
    candidate.freeingCpus = load.freeingCpus;
    candidate.freeingGpus = load.freeingGpus;
    candidate.freeingMemGb = load.freeingMemGb;
    candidate.pinned = load.pinned;
    candidate.lowestPriority = load.lowestPriority;
    candidate.fetchingImages = load.fetching;
    return candidate;
  }

  /** Whether the job's own constraints allow the machine. */
  boolean allows(JobSpec spec) {
    return spec.allows(type.name(), zone, spot);
  }

  /** Whether no task of any kind has capacity here. */
  boolean full() {
    return cpus + freeingCpus <= Resources.TOLERANCE || memGb + freeingMemGb <= Resources.TOLERANCE;
  }

  /** Whether only tasks without GPUs have capacity here. */
  boolean gpusTaken() {
    return type.gpus() > 0 && gpus + freeingGpus <= Resources.TOLERANCE;
  }

  /**
   * Whether the capacity that this job would use here is paid for already: beside work that may not
   * run on spot machines, or beside work that has taken all GPUs.
   */
  boolean paidFor(JobSpec spec) {
    return pinned || (spec.gpus() <= 0 && gpusTaken());
  }

  /**
   * How many such tasks have capacity here.
   *
   * @param includeFreeing whether capacity counts that is still being freed
   */
  int taskCapacity(JobSpec spec, boolean includeFreeing) {
    Resources reserved = reservedAgainst(spec);
    double tasks = MAX_TASKS;
    tasks =
        tasksThatFit(
            tasks, (includeFreeing ? cpus + freeingCpus : cpus) - reserved.cpus(), spec.cpus());
    tasks =
        tasksThatFit(
            tasks, (includeFreeing ? gpus + freeingGpus : gpus) - reserved.gpus(), spec.gpus());
    tasks =
        tasksThatFit(
            tasks,
            (includeFreeing ? memGb + freeingMemGb : memGb) - reserved.memGb(),
            spec.memGb());
    return (int) Math.max(0, tasks);
  }

  /** How many such tasks have capacity here once this part of the load has ended. */
  int taskCapacityWithout(MachineLoad load, JobSpec spec) {
    Resources reserved = reservedAgainst(spec);
    double tasks =
        Math.min(
            ratio(cpus + freeingCpus + load.cpus - reserved.cpus(), spec.cpus()),
            Math.min(
                ratio(gpus + freeingGpus + load.gpus - reserved.gpus(), spec.gpus()),
                ratio(memGb + freeingMemGb + load.memGb - reserved.memGb(), spec.memGb())));
    return (int) Math.floor(Math.max(0, tasks) + Resources.TOLERANCE);
  }

  private static double ratio(double available, double each) {
    return each <= 0 ? Double.MAX_VALUE : available / each;
  }

  private static double tasksThatFit(double most, double free, double each) {
    return each <= 0 ? most : Math.min(most, Math.floor((free + Resources.TOLERANCE) / each));
  }

  /** What is reserved here for other work than this job. */
  Resources reservedAgainst(JobSpec spec) {
    return reservation == null ? Resources.ZERO : reservation.reservedAgainst(spec);
  }

  /** What is not in use, or will not be once the attempts that are being stopped have ended. */
  Resources unusedCapacity() {
    return new Resources(
        Math.max(0, cpus + freeingCpus),
        Math.max(0, gpus + freeingGpus),
        Math.max(0, memGb + freeingMemGb));
  }

  /** What is free once the attempts that are being stopped have ended, less one such task. */
  CapacityBalance balanceAfterFreeing(JobSpec spec) {
    return balance(cpus + freeingCpus, gpus + freeingGpus, memGb + freeingMemGb, spec);
  }

  /** What is free now, less one such task. */
  CapacityBalance balanceNow(JobSpec spec) {
    return balance(cpus, gpus, memGb, spec);
  }

  private CapacityBalance balance(
      double freeCpus, double freeGpus, double freeMemGb, JobSpec spec) {
    CapacityBalance balance = new CapacityBalance(freeCpus, freeGpus, freeMemGb);
    balance.subtract(spec);
    balance.subtract(reservedAgainst(spec));
    return balance;
  }

  /** Has the machine accumulate capacity for one task of a gang. */
  void accumulateFor(String gang, double inS) {
    accumulatingFor = gang;
    accumulatedInS = inS;
  }

  /** Whether it accumulates capacity for a gang. */
  boolean isAccumulating() {
    return accumulatingFor != null;
  }

  /**
   * Whether a task of this job may go here though the machine accumulates capacity for another: if
   * it will have ended before the machine has that capacity.
   */
  boolean admits(JobSpec spec) {
    return accumulatingFor == null
        || accumulatingFor.equals(spec.ref())
        || (spec.shape() == JobShape.ARRAY
            && spec.expectS() > 0
            && ESTIMATE_MARGIN * spec.expectS() <= accumulatedInS);
  }

  /** Whether an attempt of lower priority runs here and is not being stopped. */
  boolean runsLowerPriorityThan(Priority priority) {
    return lowestPriority != null && lowestPriority.compareTo(priority) < 0;
  }

  /** Keeps the machine from being returned by this plan. */
  void claim() {
    claimed = true;
  }

  boolean claimed() {
    return claimed;
  }

  /** Share of its GPUs that is free. */
  double freeGpuShare() {
    return gpus / type.gpus();
  }

  /** Takes the capacity for tasks of a job, and claims the machine. */
  void allocate(JobSpec spec, int tasks) {
    claimed = true;
    cpus -= spec.cpus() * tasks;
    gpus -= spec.gpus() * tasks;
    memGb -= spec.memGb() * tasks;
    if (reservation != null) {
      reservation.allocate(spec, tasks);
    }
  }

  /** Counts the capacity of a task that this plan stops. */
  void addFreeing(JobSpec spec) {
    freeingCpus += spec.cpus();
    freeingGpus += spec.gpus();
    freeingMemGb += spec.memGb();
  }

  /** Counts an image that this plan has fetched here. */
  void addFetchingImage(String image) {
    if (!ownsFetchingImages) {
      fetchingImages = new HashSet<>(fetchingImages);
      ownsFetchingImages = true;
    }
    fetchingImages.add(image);
  }

  /** Share of the machine that is taken, by its scarcest resource. */
  double utilization() {
    double utilization = type.cpus() > 0 ? 1 - cpus / type.cpus() : 0;
    if (type.gpus() > 0) {
      utilization = Math.max(utilization, 1 - gpus / type.gpus());
    }
    return type.memGb() > 0 ? Math.max(utilization, 1 - memGb / type.memGb()) : utilization;
  }

  /** Seconds until the job's image is here. */
  double fetchS(JobSpec spec) {
    if (machine != null && machine.images.contains(spec.image())) {
      return 0;
    }
    double alone = type.fetchS(spec);
    return fetchingImages.contains(spec.image()) ? alone / 2 : alone * (1 + fetchingImages.size());
  }
}
