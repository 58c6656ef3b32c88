package io.embernotch.testkit;

import io.embernotch.model.JobSpec;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks each start of a task: cancellations, quota, zones, and that it runs nowhere else. */
final class PlacementInvariants {
  private final Settings settings;
  private final ObservedJobs jobs;
  private final Violations violations;
  private final List<String> startsAfterCancellation = new ArrayList<>();

  PlacementInvariants(Settings settings, ObservedJobs jobs, Violations violations) {
    this.settings = settings;
    this.jobs = jobs;
    this.violations = violations;
  }

  List<String> startsAfterCancellation() {
    return startsAfterCancellation;
  }

  void taskStarted(FakeWorker on, String task, Iterable<FakeWorker> workers, double now) {
    checkCancellation(on, task, now);
    JobSpec spec = jobs.specs.get(TestJobs.refOf(task));
    if (spec != null) {
      checkUnique(on, task, workers);
      checkQuota(on, task, spec, workers);
      checkPlace(on, task, spec, workers);
    }
  }

  private void checkCancellation(FakeWorker on, String task, double now) {
    Double cancelledAt = jobs.cancelledAt.get(TestJobs.refOf(task));
    if (cancelledAt == null) {
      return;
    }
    double sinceS = now - cancelledAt;
    startsAfterCancellation.add(
        task
            + " on "
            + on.name
            + " "
            + Math.round(sinceS)
            + " s after its cancellation was confirmed");
    if (sinceS > settings.workers().cancelS()) {
      violations.report(task + " starts later than cancel_s after its cancellation was confirmed");
    }
  }

  private void checkUnique(FakeWorker on, String task, Iterable<FakeWorker> workers) {
    for (FakeWorker worker : workers) {
      if (worker != on && worker.runningTasks().contains(task)) {
        violations.report(task + " starts on " + on.name + " while it is on " + worker.name);
      }
    }
  }

  private void checkQuota(FakeWorker on, String task, JobSpec spec, Iterable<FakeWorker> workers) {
    double gpus = 0;
    double cpus = 0;
    for (FakeWorker worker : workers) {
      for (String running : worker.runningTasks()) {
        JobSpec other = jobs.specs.get(TestJobs.refOf(running));
        if (other != null && other.team().equals(spec.team())) {
          gpus += other.gpus();
          cpus += other.cpus();
        }
      }
    }
    Settings.Team team = settings.teams().get(spec.team());
    if (team != null && (isOver(gpus, team.gpusMax()) || isOver(cpus, team.cpusMax()))) {
      violations.report(
          "team " + spec.team() + " is over its limit with " + task + " on " + on.name);
    }
  }

  private static boolean isOver(double used, double limit) {
    return limit > 0 && used > limit + InvariantChecker.ROUNDING;
  }

  private void checkPlace(FakeWorker on, String task, JobSpec spec, Iterable<FakeWorker> workers) {
    String ref = TestJobs.refOf(task);
    Map<String, Integer> tasksInZone = new HashMap<>();
    for (FakeWorker worker : workers) {
      for (String running : worker.runningTasks()) {
        if (TestJobs.refOf(running).equals(ref)) {
          tasksInZone.merge(worker.zone, 1, Integer::sum);
        }
      }
    }
    boolean allowed =
        spec.allows(on.type, on.zone, on.spot)
            && (!spec.oneZone() || tasksInZone.size() < 2)
            && tasksInZone.getOrDefault(on.zone, 0) <= spec.zoneCap();
    if (!allowed) {
      violations.report(task + " starts at a wrong place, " + on.name + " in " + on.zone);
    }
  }

  /** Reports tasks that are still on machines later than {@code cancel_s} after a confirmation. */
  void checkCancelledTasks(Iterable<FakeWorker> workers, double now) {
    double cancelS = settings.workers().cancelS();
    if (jobs.cancelledAt.values().stream().noneMatch(at -> now - at > cancelS)) {
      return;
    }
    for (FakeWorker worker : workers) {
      for (String task : worker.runningTasks()) {
        Double cancelledAt = jobs.cancelledAt.get(TestJobs.refOf(task));
        if (cancelledAt != null && now - cancelledAt > cancelS) {
          violations.report(
              task
                  + " is on "
                  + worker.name
                  + " later than cancel_s after its cancellation was confirmed");
        }
      }
    }
  }
}
