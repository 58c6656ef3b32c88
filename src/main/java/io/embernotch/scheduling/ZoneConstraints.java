package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** In which zones a job has tasks, and so where its next ones may go. */
final class ZoneConstraints {
  /** The job whose rules apply; null if none do. */
  private final JobSpec spec;

  private final Map<String, Integer> tasksByZone = new HashMap<>();

  /** The zone that all tasks must be in; null while any will do. */
  String requiredZone;

  ZoneConstraints(JobSpec spec, String requiredZone) {
    this.spec = spec;
    this.requiredZone = requiredZone;
  }

  /** For capacity that is not yet bound to the rules of a job. */
  static ZoneConstraints anywhere() {
    return new ZoneConstraints(null, null);
  }

  /** Those of a job with its open attempts. */
  static ZoneConstraints of(Job job) {
    ZoneConstraints zones = new ZoneConstraints(job.spec, null);
    for (Attempt attempt : job.openAttempts.values()) {
      zones.add(attempt.zone, 1);
    }
    return zones;
  }

  /** Counts so many tasks in a zone; nothing if that is zero or negative. */
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

  /** How many more tasks may go to the zone. */
  int remaining(String zone) {
    if (requiredZone != null && !requiredZone.equals(zone)) {
      return 0;
    }
    return spec != null && spec.spread()
        ? Math.max(0, spec.zoneCap() - count(zone))
        : Integer.MAX_VALUE;
  }

  /** The least of what a machine in the zone has capacity for, what is wanted, and what may go. */
  int limit(String zone, int available, int wanted) {
    return Math.min(Math.min(available, wanted), remaining(zone));
  }
}
