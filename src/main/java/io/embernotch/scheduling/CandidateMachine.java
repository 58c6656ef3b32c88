package io.embernotch.scheduling;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineLoad;
import io.embernotch.model.MachineType;
import io.embernotch.model.Priority;
import java.util.HashSet;
import java.util.Set;

/**
 * A machine on which a plan may place tasks: up, booting, or to be rented. Its capacity is what the
 * plan has not allocated yet.
 */
final class CandidateMachine {
  /** Whether the machine can run tasks now or only later. */
  enum State {
    /** Up: tasks can start. */
    UP,
    /** Booting, or requested from the cloud. */
    BOOTING,
    /** To be rented by this plan. */
    SCALE_OUT
  }

  /** Upper bound for the task capacity of a machine. */
  private static final double MAX_TASKS = 10_000;

  /** Factor applied to run time estimates: those of owners are often wrong by half. */
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

  /** Whether this plan needs the machine, so that it is not returned. */
  private boolean claimed;

  /** Whether it runs work that may not run on spot machines, so that it is paid for in any case. */
  private boolean pinned;

  /** Lowest priority of the attempts that are not being stopped; null if there are none. */
  private Priority lowestPriority;

  /** Id of the gang for which this machine accumulates capacity for one task; null if none. */
  private String accumulatingFor;

  /** Seconds until the machine has accumulated that capacity. */
  private double accumulatedInS;

  /** Rates how well the machine suits the job that is being placed; lower is better. */
  double score;

  /** Reservations on the machine; null if there are none. */
  MachineReservation reservation;

  /** Images that are being fetched; the set of the machine's load until this plan adds an image. */
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

  /** Creates a candidate for a machine of the fleet with its present load. */
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

  /** Whether no CPUs or no memory are left for any task, even once stopping attempts have ended. */
  boolean full() {
    return cpus + freeingCpus <= Resources.TOLERANCE || memGb + freeingMemGb <= Resources.TOLERANCE;
  }

  /** Whether the machine has GPUs and all are taken, so that only tasks without GPUs fit. */
  boolean gpusTaken() {
    return type.gpus() > 0 && gpus + freeingGpus <= Resources.TOLERANCE;
  }

  /**
   * Whether the machine is paid for without this job: it runs work that may not run on spot
   * machines, or its GPUs are all taken and the job needs none.
   */
  boolean paidFor(JobSpec spec) {
    return pinned || (spec.gpus() <= 0 && gpusTaken());
  }

  /**
   * How many tasks of the job the machine has capacity for.
   *
   * @param includeFreeing whether to include capacity that is still being freed
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

  /**
   * How many tasks of the job the machine has capacity for once this part of its load has ended.
   */
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

  /** Free capacity that is reserved for other work than this job. */
  Resources reservedAgainst(JobSpec spec) {
    return reservation == null ? Resources.ZERO : reservation.reservedAgainst(spec);
  }

  /** Capacity that is not in use once the attempts that are being stopped have ended. */
  Resources unusedCapacity() {
    return new Resources(
        Math.max(0, cpus + freeingCpus),
        Math.max(0, gpus + freeingGpus),
        Math.max(0, memGb + freeingMemGb));
  }

  /** Capacity for the job that is free once stopping attempts have ended, less one of its tasks. */
  CapacityBalance balanceAfterFreeing(JobSpec spec) {
    return balance(cpus + freeingCpus, gpus + freeingGpus, memGb + freeingMemGb, spec);
  }

  /** Capacity for the job that is free now, less one of its tasks. */
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

  /**
   * Makes the machine accumulate capacity for one task of a gang, which takes {@code inS} seconds.
   */
  void accumulateFor(String gang, double inS) {
    accumulatingFor = gang;
    accumulatedInS = inS;
  }

  /** Whether the machine accumulates capacity for a gang. */
  boolean isAccumulating() {
    return accumulatingFor != null;
  }

  /**
   * Whether a task of this job may be placed on the machine. While the machine accumulates capacity
   * for another job, the task must be expected to end before the machine has that capacity.
   */
  boolean admits(JobSpec spec) {
    return accumulatingFor == null
        || accumulatingFor.equals(spec.ref())
        || (spec.shape() == JobShape.ARRAY
            && spec.expectS() > 0
            && ESTIMATE_MARGIN * spec.expectS() <= accumulatedInS);
  }

  /** Whether the machine runs an attempt of lower priority that is not being stopped. */
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

  /** Share of the machine's GPUs that is free; the machine must have GPUs. */
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

  /** Adds an image that the machine fetches because of this plan. */
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

  /** Estimated seconds until the machine has the job's image; 0 if it has it already. */
  double fetchS(JobSpec spec) {
    if (machine != null && machine.images.contains(spec.image())) {
      return 0;
    }
    double alone = type.fetchS(spec);
    return fetchingImages.contains(spec.image()) ? alone / 2 : alone * (1 + fetchingImages.size());
  }
}
