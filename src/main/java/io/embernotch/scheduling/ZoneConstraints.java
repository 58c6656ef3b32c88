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
  String only;

  ZoneConstraints(JobSpec spec, String only) {
    this.spec = spec;
    this.only = only;
  }

  /** For room that no job's rules bind yet. */
  static ZoneConstraints anywhere() {
    return new ZoneConstraints(null, null);
  }

  static ZoneConstraints of(Job job) {
    ZoneConstraints z = new ZoneConstraints(job.spec, null);
    for (Attempt attempt : job.openAttempts.values()) {
      z.put(attempt.zone, 1);
    }
    return z;
  }

  void put(String zone, int n) {
    if (n <= 0) {
      return;
    }
    tasks.merge(zone, n, Integer::sum);
    if (spec != null && spec.oneZone() && only == null) {
      only = zone;
    }
  }

  int in(String zone) {
    return tasks.getOrDefault(zone, 0);
  }

  /** How many more may go there. */
  int room(String zone) {
    if (only != null && !only.equals(zone)) {
      return 0;
    }
    return spec != null && spec.spread()
        ? Math.max(0, spec.zoneCap() - in(zone))
        : Integer.MAX_VALUE;
  }
}
