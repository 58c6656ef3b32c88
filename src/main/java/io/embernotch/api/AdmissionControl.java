package io.embernotch.api;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.settings.Settings;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/**
 * Finds jobs that can never run. The result depends on nothing that changes while a controller
 * runs, so a repeated submission is treated as the first one.
 */
final class AdmissionControl {
  /** Makes up for rounding where amounts of several tasks are summed. */
  private static final double ROUNDING = 1e-6;

  private AdmissionControl() {}

  /** Why the job can never run, in words for its user; empty if it can. */
  static Optional<String> rejectionReason(
      JobSpec job, Map<String, Settings.Team> teams, Collection<MachineType> types) {
    Settings.Team team = teams.get(job.team());
    if (team == null) {
      return Optional.of("unknown team " + job.team());
    }
    if (types.stream().noneMatch(type -> isPossible(job, type))) {
      return Optional.of("a task fits no allowed machine type");
    }
    if (exceedsQuota(job, team)) {
      return Optional.of("needs more than the limit of team " + job.team());
    }
    if (mustSpreadWithinOneZone(job)) {
      return Optional.of("must be spread, yet may use one zone only");
    }
    return Optional.empty();
  }

  private static boolean isPossible(JobSpec job, MachineType type) {
    return type.fits(job)
        && type.zones().stream().anyMatch(zone -> job.allows(type.name(), zone, false));
  }

  /** Whether the tasks that have to run at the same time exceed the team's quota. */
  private static boolean exceedsQuota(JobSpec job, Settings.Team team) {
    int concurrentTasks = job.shape() == JobShape.ARRAY ? 1 : job.tasks();
    return exceeds(job.cpus() * concurrentTasks, team.cpusMax())
        || exceeds(job.gpus() * concurrentTasks, team.gpusMax());
  }

  private static boolean mustSpreadWithinOneZone(JobSpec job) {
    return job.spread()
        && job.tasks() > 1
        && job.shape() != JobShape.ARRAY
        && (job.oneZone() || job.zone() != null);
  }

  /** A limit of 0 means that there is none. */
  private static boolean exceeds(double wanted, double limit) {
    return limit > 0 && wanted > limit + ROUNDING;
  }
}
