package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** Where a job's tasks are, and so where its next ones may go. */
final class ZoneConstraints {
  private final JobSpec spec;
  private final Map<String, Integer> tasks = new HashMap<>();

  /** The zone that all must be in, or null. */
  String requiredZone;

  ZoneConstraints(JobSpec spec, String only) {
    this.spec = spec;
    this.requiredZone = only;
  }

  /** For room that no job's rules bind yet. */
  static ZoneConstraints anywhere() {
    return new ZoneConstraints(null, null);
  }

  static ZoneConstraints of(Job job) {
    ZoneConstraints z = new ZoneConstraints(job.spec, null);
    for (Attempt attempt : job.openAttempts.values()) {
      z.add(attempt.zone, 1);
    }
    return z;
  }

  void add(String zone, int n) {
    if (n <= 0) {
      return;
    }
    tasks.merge(zone, n, Integer::sum);
    if (spec != null && spec.oneZone() && requiredZone == null) {
      requiredZone = zone;
    }
  }

  int count(String zone) {
    return tasks.getOrDefault(zone, 0);
  }

  /** How many more may go there. */
  int remaining(String zone) {
    if (requiredZone != null && !requiredZone.equals(zone)) {
      return 0;
    }
    return spec != null && spec.spread()
        ? Math.max(0, spec.zoneCap() - count(zone))
        : Integer.MAX_VALUE;
  }
}
