package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineLoad;
import io.embernotch.model.Machine;
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

  static CandidateMachine of(Kind kind, Machine m) {
    CandidateMachine s = new CandidateMachine(kind, m, m.type, m.zone, m.spot);
    MachineLoad l = m.load();
    s.cpus -= l.cpus;
    s.gpus -= l.gpus;
    s.mem -= l.memGb;
    s.freeingCpus = l.freeingCpus;
    s.freeingGpus = l.freeingGpus;
    s.freeingMem = l.freeingMemGb;
    s.pinned = l.pinned;
    s.least = l.lowestPriority;
    s.fetching = l.fetching;
    return s;
  }

  boolean allows(JobSpec j) {
    return j.allows(type.name(), zone, spot);
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
  boolean paidFor(JobSpec j) {
    return pinned || (j.gpus() <= 0 && gpusTaken());
  }

  /** How many such tasks have room now, or once what is being stopped has ended. */
  int count(JobSpec j, boolean later) {
    double n = 10_000;
    Resources kept = keptFrom(j);
    n = fits(n, (later ? cpus + freeingCpus : cpus) - kept.cpus(), j.cpus());
    n = fits(n, (later ? gpus + freeingGpus : gpus) - kept.gpus(), j.gpus());
    n = fits(n, (later ? mem + freeingMem : mem) - kept.memGb(), j.memGb());
    return (int) Math.max(0, n);
  }

  /** What is held here that such a job may not have. */
  Resources keptFrom(JobSpec j) {
    return hold == null ? Resources.ZERO : hold.keptFrom(j);
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

  void take(JobSpec j, int tasks) {
    cpus -= j.cpus() * tasks;
    gpus -= j.gpus() * tasks;
    mem -= j.memGb() * tasks;
    if (hold != null) {
      hold.take(j, tasks);
    }
  }

  void willFree(JobSpec j) {
    freeingCpus += j.cpus();
    freeingGpus += j.gpus();
    freeingMem += j.memGb();
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
  double fetchS(JobSpec j) {
    if (machine != null && machine.images.contains(j.image())) {
      return 0;
    }
    double s = type.fetchS(j);
    return fetching.contains(j.image()) ? s / 2 : s * (1 + fetching.size());
  }
}
