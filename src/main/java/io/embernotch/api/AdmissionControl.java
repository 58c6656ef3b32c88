package io.embernotch.api;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.settings.Settings;
import java.util.Collection;
import java.util.Map;

/**
 * Tells jobs that can never run. Depends on nothing that changes, so a repeat gets the same answer.
 */
public final class AdmissionControl {
  private AdmissionControl() {}

  /** Why the job can never run, or null. */
  public static String neverRuns(
      JobSpec job, Map<String, Settings.Team> teams, Collection<MachineType> types) {
    Settings.Team team = teams.get(job.team());
    if (team == null) {
      return "unknown team " + job.team();
    }
    boolean fits = false;
    for (MachineType type : types) {
      fits |=
          type.fits(job) && type.zones().stream().anyMatch(z -> job.allows(type.name(), z, false));
    }
    if (!fits) {
      return "a task fits no allowed machine type";
    }
    int together = job.shape() == JobShape.ARRAY ? 1 : job.tasks();
    if (over(job.cpus() * together, team.cpusMax())
        || over(job.gpus() * together, team.gpusMax())) {
      return "needs more than the limit of team " + job.team();
    }
    if (job.spread()
        && job.tasks() > 1
        && job.shape() != JobShape.ARRAY
        && (job.oneZone() || job.zone() != null)) {
      return "must be spread, yet may use one zone only";
    }
    return null;
  }

  private static boolean over(double wanted, double max) {
    return max > 0 && wanted > max + 1e-6;
  }
}
