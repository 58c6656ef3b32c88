package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** Counts a job's tasks by zone, and limits the zones in which further tasks may be placed. */
final class ZoneConstraints {
  /** The job whose zone rules apply; null if there are none. */
  private final JobSpec spec;

  private final Map<String, Integer> tasksByZone = new HashMap<>();

  /** The zone that all tasks must be in; null while any zone is allowed. */
  String requiredZone;

  ZoneConstraints(JobSpec spec, String requiredZone) {
    this.spec = spec;
    this.requiredZone = requiredZone;
  }

  /** Constraints for capacity that is not bound to the zone rules of a job. */
  static ZoneConstraints anywhere() {
    return new ZoneConstraints(null, null);
  }

  /** The constraints of a job, counting its open attempts. */
  static ZoneConstraints of(Job job) {
    ZoneConstraints zones = new ZoneConstraints(job.spec, null);
    for (Attempt attempt : job.openAttempts.values()) {
      zones.add(attempt.zone, 1);
    }
    return zones;
  }

  /** Counts further tasks in a zone; does nothing if {@code tasks} is zero or negative. */
  void add(String zone, int tasks) {
    if (tasks <= 0) {
      return;
    }
    tasksByZone.merge(zone, tasks, Integer::sum);
    if (spec != null && spec.oneZone() && requiredZone == null) {
      requiredZone = zone;
    }
  }

  /** How many tasks are in the zone. */
  int count(String zone) {
    return tasksByZone.getOrDefault(zone, 0);
  }

  /** How many more tasks may be placed in the zone. */
  int remaining(String zone) {
    if (requiredZone != null && !requiredZone.equals(zone)) {
      return 0;
    }
    return spec != null && spec.spread()
        ? Math.max(0, spec.zoneCap() - count(zone))
        : Integer.MAX_VALUE;
  }

  /**
   * How many tasks may be placed on a machine in the zone: at most its capacity, the number wanted,
   * and the number that the zone still allows.
   */
  int limit(String zone, int available, int wanted) {
    return Math.min(Math.min(available, wanted), remaining(zone));
  }
}
