package io.embernotch.plan;

import io.embernotch.model.Attempt;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.model.Shape;
import io.embernotch.model.TaskState;
import java.util.HashSet;
import java.util.Set;

/** A machine while a plan is being made: one that is up, one that is coming, or one to buy. */
final class Slot {
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
  final Set<String> fetching = new HashSet<>();
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

  Slot(Kind kind, Machine machine, MachineType type, String zone, boolean spot) {
    this.kind = kind;
    this.machine = machine;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.cpus = type.cpus();
    this.gpus = type.gpus();
    this.mem = type.memGb();
  }

  static Slot of(Kind kind, Machine m) {
    Slot s = new Slot(kind, m, m.type, m.zone, m.spot);
    for (Attempt a : m.open.values()) {
      JobSpec j = a.job.spec;
      s.take(j);
      s.pinned |= j.shape() == Shape.SERVICE;
      if (a.stopping) {
        s.willFree(j);
      }
      if (a.state == TaskState.FETCHING || a.state == null) {
        s.fetching.add(j.image());
      }
    }
    return s;
  }

  boolean allows(JobSpec j) {
    return j.allows(type.name(), zone, spot);
  }

  boolean fits(JobSpec j) {
    return cpus >= j.cpus() - EPS && gpus >= j.gpus() - EPS && mem >= j.memGb() - EPS;
  }

  boolean fitsLater(JobSpec j) {
    return cpus + freeingCpus >= j.cpus() - EPS
        && gpus + freeingGpus >= j.gpus() - EPS
        && mem + freeingMem >= j.memGb() - EPS;
  }

  void take(JobSpec j) {
    cpus -= j.cpus();
    gpus -= j.gpus();
    mem -= j.memGb();
  }

  void give(JobSpec j) {
    cpus += j.cpus();
    gpus += j.gpus();
    mem += j.memGb();
  }

  void willFree(JobSpec j) {
    freeingCpus += j.cpus();
    freeingGpus += j.gpus();
    freeingMem += j.memGb();
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
