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
  enum Kind {
    READY,
    COMING,
    NEW
  }

  private static final double EPS = 1e-6;

  final Kind kind;
  final Machine machine;
  final MachineType type;
  final String zone;
  final boolean spot;
  double cpus;
  double gpus;
  double mem;

  /** What comes free once the attempts that are being stopped have ended. */
  double freeingCpus;

  double freeingGpus;
  double freeingMem;
  boolean claimed;

  /** Holds work that may not run on spot machines, so it is paid for whatever else it does. */
  boolean pinned;

  /** Least priority of what runs there and is not being stopped; null if nothing is. */
  Priority least;

  /**
   * The gang that this machine is held for until it has room for one of its tasks, and in how many
   * seconds; or null.
   */
  String heldFor;

  double heldS;

  /** How well it suits the job that is being placed: less is better. */
  double score;

  /** What is held here for reservations; null if nothing is. */
  MachineReservation hold;

  private Set<String> fetching = Set.of();
  private boolean ownFetching;

  CandidateMachine(Kind kind, Machine machine, MachineType type, String zone, boolean spot) {
    this.kind = kind;
    this.machine = machine;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.cpus = type.cpus();
    this.gpus = type.gpus();
    this.mem = type.memGb();
  }

  static CandidateMachine of(Kind kind, Machine machine) {
    CandidateMachine candidate =
        new CandidateMachine(kind, machine, machine.type, machine.zone, machine.spot);
    MachineLoad l = machine.load();
    candidate.cpus -= l.cpus;
    candidate.gpus -= l.gpus;
    candidate.mem -= l.memGb;
    candidate.freeingCpus = l.freeingCpus;
    candidate.freeingGpus = l.freeingGpus;
    candidate.freeingMem = l.freeingMemGb;
    candidate.pinned = l.pinned;
    candidate.least = l.lowestPriority;
    candidate.fetching = l.fetching;
    return candidate;
  }

  boolean allows(JobSpec spec) {
    return spec.allows(type.name(), zone, spot);
  }

  /** Nothing more can go there whatever it is. */
  boolean full() {
    return cpus + freeingCpus <= EPS || mem + freeingMem <= EPS;
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
  int count(JobSpec spec, boolean later) {
    double n = 10_000;
    Resources kept = keptFrom(spec);
    n = fits(n, (later ? cpus + freeingCpus : cpus) - kept.cpus(), spec.cpus());
    n = fits(n, (later ? gpus + freeingGpus : gpus) - kept.gpus(), spec.gpus());
    n = fits(n, (later ? mem + freeingMem : mem) - kept.memGb(), spec.memGb());
    return (int) Math.max(0, n);
  }

  /** What is held here that such a job may not have. */
  Resources keptFrom(JobSpec spec) {
    return hold == null ? Resources.ZERO : hold.keptFrom(spec);
  }

  /** What nobody uses, or will not once what is being stopped has ended. */
  Resources freeLater() {
    return new Resources(
        Math.max(0, cpus + freeingCpus),
        Math.max(0, gpus + freeingGpus),
        Math.max(0, mem + freeingMem));
  }

  private static double fits(double most, double free, double each) {
    return each <= 0 ? most : Math.min(most, Math.floor((free + EPS) / each));
  }

  void take(JobSpec spec, int tasks) {
    cpus -= spec.cpus() * tasks;
    gpus -= spec.gpus() * tasks;
    mem -= spec.memGb() * tasks;
    if (hold != null) {
      hold.take(spec, tasks);
    }
  }

  void willFree(JobSpec spec) {
    freeingCpus += spec.cpus();
    freeingGpus += spec.gpus();
    freeingMem += spec.memGb();
  }

  void fetches(String image) {
    if (!ownFetching) {
      fetching = new HashSet<>(fetching);
      ownFetching = true;
    }
    fetching.add(image);
  }

  /** Share of the machine that is taken, by its scarcest amount. */
  double used() {
    double u = type.cpus() > 0 ? 1 - cpus / type.cpus() : 0;
    if (type.gpus() > 0) {
      u = Math.max(u, 1 - gpus / type.gpus());
    }
    return type.memGb() > 0 ? Math.max(u, 1 - mem / type.memGb()) : u;
  }

  /** Seconds until the job's image is here. */
  double fetchS(JobSpec spec) {
    if (machine != null && machine.images.contains(spec.image())) {
      return 0;
    }
    double s = type.fetchS(spec);
    return fetching.contains(spec.image()) ? s / 2 : s * (1 + fetching.size());
  }
}
