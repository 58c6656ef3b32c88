package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineLoad;
import io.embernotch.model.MachineType;
import io.embernotch.model.Priority;
import java.util.HashSet;
import java.util.Set;

/** A machine while a plan is being made: one that is up, one that is coming, or one to buy. */
final class CandidateMachine {
  enum State {
    UP,
    BOOTING,
    SCALE_OUT
  }

  private static final double EPS = 1e-6;

  final State state;
  final Machine machine;
  final MachineType type;
  final String zone;
  final boolean spot;
  double cpus;
  double gpus;
  double memGb;

  /** What comes free once the attempts that are being stopped have ended. */
  double freeingCpus;

  double freeingGpus;
  double freeingMemGb;
  boolean claimed;

  /** Holds work that may not run on spot machines, so it is paid for whatever else it does. */
  boolean pinned;

  /** Least priority of what runs there and is not being stopped; null if nothing is. */
  Priority lowestPriority;

  /**
   * The gang that this machine is held for until it has room for one of its tasks, and in how many
   * seconds; or null.
   */
  String accumulatingFor;

  double accumulatedInS;

  /** How well it suits the job that is being placed: less is better. */
  double score;

  /** What is held here for reservations; null if nothing is. */
  MachineReservation reservation;

  private Set<String> fetchingImages = Set.of();
  private boolean ownsFetchingImages;

  CandidateMachine(State kind, Machine machine, MachineType type, String zone, boolean spot) {
    this.state = kind;
    this.machine = machine;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.cpus = type.cpus();
    this.gpus = type.gpus();
    this.memGb = type.memGb();
  }

  static CandidateMachine of(State kind, Machine machine) {
    CandidateMachine candidate =
        new CandidateMachine(kind, machine, machine.type, machine.zone, machine.spot);
    MachineLoad l = machine.load();
    candidate.cpus -= l.cpus;
    candidate.gpus -= l.gpus;
    candidate.memGb -= l.memGb;
    candidate.freeingCpus = l.freeingCpus;
    candidate.freeingGpus = l.freeingGpus;
    candidate.freeingMemGb = l.freeingMemGb;
    candidate.pinned = l.pinned;
    candidate.lowestPriority = l.lowestPriority;
    candidate.fetchingImages = l.fetching;
    return candidate;
  }

  boolean allows(JobSpec spec) {
    return spec.allows(type.name(), zone, spot);
  }

  /** Nothing more can go there whatever it is. */
  boolean full() {
    return cpus + freeingCpus <= EPS || memGb + freeingMemGb <= EPS;
  }

  /** Only what needs no GPU can go there. */
  boolean gpusTaken() {
    return type.gpus() > 0 && gpus + freeingGpus <= EPS;
  }

  /**
   * What this job would use there is paid for already: beside work that may not run on spot
   * machines, or beside work that has taken all GPUs.
   */
  boolean paidFor(JobSpec spec) {
    return pinned || (spec.gpus() <= 0 && gpusTaken());
  }

  /** How many such tasks have room now, or once what is being stopped has ended. */
  int taskCapacity(JobSpec spec, boolean later) {
    double n = 10_000;
    Resources kept = reservedAgainst(spec);
    n = tasksThatFit(n, (later ? cpus + freeingCpus : cpus) - kept.cpus(), spec.cpus());
    n = tasksThatFit(n, (later ? gpus + freeingGpus : gpus) - kept.gpus(), spec.gpus());
    n = tasksThatFit(n, (later ? memGb + freeingMemGb : memGb) - kept.memGb(), spec.memGb());
    return (int) Math.max(0, n);
  }

  /** What is held here that such a job may not have. */
  Resources reservedAgainst(JobSpec spec) {
    return reservation == null ? Resources.ZERO : reservation.reservedAgainst(spec);
  }

  /** What nobody uses, or will not once what is being stopped has ended. */
  Resources unusedCapacity() {
    return new Resources(
        Math.max(0, cpus + freeingCpus),
        Math.max(0, gpus + freeingGpus),
        Math.max(0, memGb + freeingMemGb));
  }

  private static double tasksThatFit(double most, double free, double each) {
    return each <= 0 ? most : Math.min(most, Math.floor((free + EPS) / each));
  }

  void allocate(JobSpec spec, int tasks) {
    cpus -= spec.cpus() * tasks;
    gpus -= spec.gpus() * tasks;
    memGb -= spec.memGb() * tasks;
    if (reservation != null) {
      reservation.allocate(spec, tasks);
    }
  }

  void addFreeing(JobSpec spec) {
    freeingCpus += spec.cpus();
    freeingGpus += spec.gpus();
    freeingMemGb += spec.memGb();
  }

  void addFetchingImage(String image) {
    if (!ownsFetchingImages) {
      fetchingImages = new HashSet<>(fetchingImages);
      ownsFetchingImages = true;
    }
    fetchingImages.add(image);
  }

  /** Share of the machine that is taken, by its scarcest amount. */
  double utilization() {
    double u = type.cpus() > 0 ? 1 - cpus / type.cpus() : 0;
    if (type.gpus() > 0) {
      u = Math.max(u, 1 - gpus / type.gpus());
    }
    return type.memGb() > 0 ? Math.max(u, 1 - memGb / type.memGb()) : u;
  }

  /** Seconds until the job's image is here. */
  double fetchS(JobSpec spec) {
    if (machine != null && machine.images.contains(spec.image())) {
      return 0;
    }
    double s = type.fetchS(spec);
    return fetchingImages.contains(spec.image()) ? s / 2 : s * (1 + fetchingImages.size());
  }
}
