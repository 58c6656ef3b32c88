package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.settings.Settings;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Tracks what the teams use of their limits and guarantees. */
final class QuotaUsage {
  /** What one team uses. */
  private static final class TeamUsage {
    double cpus;
    double gpus;

    /** GPUs that open attempts took before the plan. */
    double openGpus;

    /** GPUs kept for waiting gangs. */
    double keptGpus;

    /** Id of the first gang that quota is kept for; null if there is none. */
    String keptForGang;
  }

  private final Map<String, Settings.Team> teams;
  private final Map<String, TeamUsage> usageByTeam = new HashMap<>();

  /**
   * Counts the present usage. Open attempts count until their end is proven, even if their job has
   * ended. While a job may not start tasks yet, all of its remaining tasks count, since unknown
   * attempts of it may be running.
   */
  QuotaUsage(
      Map<String, Settings.Team> teams,
      Collection<Job> jobs,
      Collection<Job> possiblyEndedJobs,
      double now) {
    this.teams = teams;
    Stream.concat(jobs.stream(), possiblyEndedJobs.stream())
        .forEach(
            job ->
                add(
                    job.spec,
                    job.notBefore > now && job.finalPhase == null
                        ? job.remaining()
                        : job.openAttempts.size()));
    usageByTeam.values().forEach(usage -> usage.openGpus = usage.gpus);
  }

  /** Counts tasks of a job as running. */
  void add(JobSpec spec, int tasks) {
    TeamUsage usage = usageByTeam.computeIfAbsent(spec.team(), team -> new TeamUsage());
    usage.cpus += spec.cpus() * tasks;
    usage.gpus += spec.gpus() * tasks;
  }

  /** Keeps quota for a waiting gang: it counts as used. */
  void keepFor(JobSpec gang) {
    add(gang, gang.tasks());
    TeamUsage usage = usageByTeam.get(gang.team());
    usage.keptGpus += gang.gpus() * gang.tasks();
    usage.keptForGang = usage.keptForGang == null ? gang.ref() : usage.keptForGang;
  }

  /** GPU usage by team name. */
  Map<String, WaitSummary.TeamGpus> gpusByTeam() {
    Map<String, WaitSummary.TeamGpus> gpus = new TreeMap<>();
    usageByTeam.forEach(
        (name, usage) -> {
          Settings.Team team = teams.get(name);
          gpus.put(
              name,
              new WaitSummary.TeamGpus(
                  usage.openGpus,
                  usage.gpus - usage.openGpus - usage.keptGpus,
                  usage.keptGpus,
                  team == null ? 0 : team.gpusMax()));
        });
    return gpus;
  }

  /** Id of the first gang that quota of the team is kept for; null if there is none. */
  String keptForGang(String team) {
    TeamUsage usage = usageByTeam.get(team);
    return usage == null ? null : usage.keptForGang;
  }

  /** How many more tasks of this job its team may run. */
  int remainingTasks(JobSpec spec) {
    Settings.Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    TeamUsage usage = usageByTeam.getOrDefault(spec.team(), new TeamUsage());
    return (int)
        Math.min(
            tasksWithinLimit(team.cpusMax(), usage.cpus, spec.cpus()),
            tasksWithinLimit(team.gpusMax(), usage.gpus, spec.gpus()));
  }

  /** How many tasks a limit leaves room for; a limit of zero or less means no limit. */
  private static double tasksWithinLimit(double limit, double used, double each) {
    if (limit <= 0 || each <= 0) {
      return Integer.MAX_VALUE;
    }
    return Math.max(0, Math.floor((limit - used) / each + Resources.TOLERANCE));
  }

  /** Sets {@link Job#withinGuarantee} of the jobs that have not ended and are not blocked. */
  void markGuaranteed(Collection<Job> jobs) {
    Map<String, List<Job>> byTeam =
        jobs.stream()
            .filter(job -> job.finalPhase == null && !job.blocked())
            .collect(Collectors.groupingBy(job -> job.spec.team()));
    byTeam.forEach((name, teamJobs) -> markGuaranteed(teams.get(name), teamJobs));
  }

  /** Marks the jobs that fit the guarantee together with all earlier jobs of the team. */
  private static void markGuaranteed(Settings.Team team, List<Job> jobs) {
    jobs.sort(
        Comparator.comparingLong((Job job) -> job.eligibleSinceMs)
            .thenComparing(job -> job.spec.ref()));
    double cpus = 0;
    double gpus = 0;
    for (Job job : jobs) {
      cpus += job.spec.cpus() * job.remaining();
      gpus += job.spec.gpus() * job.remaining();
      job.withinGuarantee = team != null && !team.guest() && withinGuarantee(team, cpus, gpus);
    }
  }

  /** An amount of zero or less is not part of the guarantee. */
  private static boolean withinGuarantee(Settings.Team team, double cpus, double gpus) {
    return (team.cpus() <= 0 || cpus <= team.cpus() + Resources.TOLERANCE)
        && (team.gpus() <= 0 || gpus <= team.gpus() + Resources.TOLERANCE);
  }
}
