package io.embernotch.testkit;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that no job waits for long beside free capacity, once all faults are over. */
final class WaitingJobInvariants {
  /** How long a job may wait while a machine that fits has room and its team is under its limit. */
  private static final double MAX_WAIT_S = 90;

  /** Tasks that fit by a resource of which the job needs none. */
  private static final double UNLIMITED = 1e6;

  private final Settings settings;
  private final ObservedJobs jobs;
  private final Violations violations;

  /** Since when each job waits beside free capacity. */
  private final Map<String, Double> waitingSince = new HashMap<>();

  WaitingJobInvariants(Settings settings, ObservedJobs jobs, Violations violations) {
    this.settings = settings;
    this.jobs = jobs;
    this.violations = violations;
  }

  void check(Iterable<FakeWorker> workers, double now) {
    Map<String, Integer> runningTasks = new HashMap<>();
    Map<String, Double> gpusOfTeam = new HashMap<>();
    List<FakeWorker> healthy = new ArrayList<>();
    for (FakeWorker worker : workers) {
      if (worker.isHealthy()) {
        healthy.add(worker);
      }
      for (String task : worker.runningTasks()) {
        JobSpec spec = jobs.specs.get(TestJobs.refOf(task));
        runningTasks.merge(TestJobs.refOf(task), 1, Integer::sum);
        gpusOfTeam.merge(
            spec == null ? "" : spec.team(), spec == null ? 0 : spec.gpus(), Double::sum);
      }
    }
    for (String ref : jobs.accepted) {
      JobSpec spec = jobs.specs.get(ref);
      boolean couldStart =
          isWaiting(ref, spec, runningTasks.getOrDefault(ref, 0))
              && isWithinQuota(spec, gpusOfTeam.getOrDefault(spec.team(), 0.0))
              && fits(spec, healthy);
      if (!couldStart) {
        waitingSince.remove(ref);
      } else if (now - waitingSince.computeIfAbsent(ref, r -> now) > MAX_WAIT_S) {
        violations.report(ref + " waits for " + MAX_WAIT_S + " s beside room for it");
      }
    }
  }

  private boolean isWaiting(String ref, JobSpec spec, int running) {
    if (jobs.finalPhases.containsKey(ref)
        || jobs.cancelRequestedAt.containsKey(ref)
        || !spec.dependencies().isEmpty()) {
      return false;
    }
    if (spec.shape() == JobShape.GANG) {
      return running == 0 && !jobs.isAllDone(ref, spec);
    }
    int done = spec.shape() == JobShape.ARRAY ? jobs.doneCount(ref) : 0;
    return spec.tasks() - running - done > 0;
  }

  /** How many tasks must be started at once. */
  private static int tasksAtOnce(JobSpec spec) {
    return spec.shape() == JobShape.GANG ? spec.tasks() : 1;
  }

  private boolean isWithinQuota(JobSpec spec, double usedGpus) {
    double limit = settings.teams().get(spec.team()).gpusMax();
    double needed = tasksAtOnce(spec) * spec.gpus();
    return limit <= 0 || usedGpus + needed <= limit + InvariantChecker.ROUNDING;
  }

  /**
   * Whether there is room for the tasks that must start at once; all of them in one zone, or
   * spread, where the job wants that.
   */
  private boolean fits(JobSpec spec, List<FakeWorker> healthy) {
    int needed = tasksAtOnce(spec);
    Map<String, Integer> roomInZone = new HashMap<>();
    for (FakeWorker worker : healthy) {
      if (spec.allows(worker.type, worker.zone, worker.spot)) {
        roomInZone.merge(worker.zone, Math.max(0, roomOn(worker, spec)), Integer::sum);
      }
    }
    if (spec.oneZone() || needed == 1) {
      return roomInZone.values().stream().anyMatch(room -> room >= needed);
    }
    return roomInZone.values().stream().mapToInt(room -> Math.min(room, spec.zoneCap())).sum()
        >= needed;
  }

  /** How many tasks of a job the free capacity of a machine takes; unknown tasks take all of it. */
  private int roomOn(FakeWorker worker, JobSpec spec) {
    double gpus = FakeWorker.GPUS;
    double cpus = FakeWorker.CPUS;
    for (String task : worker.runningTasks()) {
      JobSpec other = jobs.specs.get(TestJobs.refOf(task));
      gpus -= other == null ? FakeWorker.GPUS : other.gpus();
      cpus -= other == null ? FakeWorker.CPUS : other.cpus();
    }
    double byGpus = spec.gpus() > 0 ? gpus / spec.gpus() : UNLIMITED;
    double byCpus = spec.cpus() > 0 ? cpus / spec.cpus() : UNLIMITED;
    return (int) Math.floor(Math.min(byGpus, byCpus) + InvariantChecker.ROUNDING);
  }
}
