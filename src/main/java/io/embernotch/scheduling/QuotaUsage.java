package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.settings.Settings;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** What the teams use, may use, and are guaranteed. */
final class QuotaUsage {
  private static final double EPS = 1e-6;
  private final Map<String, Settings.Team> teams;
  private final Map<String, double[]> used = new HashMap<>();

  /** Open attempts count until their end is proven, whatever has become of their job. */
  QuotaUsage(Map<String, Settings.Team> teams, Collection<Job> jobs) {
    this.teams = teams;
    for (Job job : jobs) {
      add(job.spec, job.openAttempts.size());
    }
  }

  void add(JobSpec spec, int tasks) {
    double[] u = used.computeIfAbsent(spec.team(), t -> new double[2]);
    u[0] += spec.cpus() * tasks;
    u[1] += spec.gpus() * tasks;
  }

  /** How many more tasks of this job its team may run. */
  int remainingTasks(JobSpec spec) {
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    double[] u = used.getOrDefault(spec.team(), new double[2]);
    return (int)
        Math.min(
            tasksWithinLimit(team.cpusMax(), u[0], spec.cpus()),
            tasksWithinLimit(team.gpusMax(), u[1], spec.gpus()));
  }

  private static double tasksWithinLimit(double max, double used, double each) {
    if (max <= 0 || each <= 0) {
      return Integer.MAX_VALUE;
    }
    return Math.max(0, Math.floor((max - used) / each + EPS));
  }

  /**
   * Marks the jobs that may run and fit their team's guarantee together with the team's earlier
   * ones.
   */
  void markGuaranteed(Collection<Job> jobs) {
    Map<String, List<Job>> byTeam =
        jobs.stream()
            .filter(job -> job.finalPhase == null && !job.blocked())
            .collect(Collectors.groupingBy(job -> job.spec.team()));
    byTeam.forEach(
        (name, list) -> {
          Settings.Team team = teams.get(name);
          list.sort(
              Comparator.comparingLong((Job job) -> job.eligibleSinceMs)
                  .thenComparing(job -> job.spec.ref()));
          double cpus = 0;
          double gpus = 0;
          for (Job job : list) {
            cpus += job.spec.cpus() * job.remaining();
            gpus += job.spec.gpus() * job.remaining();
            job.withinGuarantee = team != null && within(team.cpus(), cpus, team.gpus(), gpus);
          }
        });
  }

  private static boolean within(double cpus, double wantCpus, double gpus, double wantGpus) {
    if (cpus <= 0 && gpus <= 0) {
      return false;
    }
    return (cpus <= 0 || wantCpus <= cpus + EPS) && (gpus <= 0 || wantGpus <= gpus + EPS);
  }
}
