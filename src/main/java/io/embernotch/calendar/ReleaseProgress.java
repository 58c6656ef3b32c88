package io.embernotch.calendar;

import io.embernotch.model.Job;
import io.embernotch.state.ClusterState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which jobs of each occurrence are done in time, open, or late, as this leader has seen it. */
final class ReleaseProgress {
  private final ClusterState state;

  /** Names of jobs, by occurrence. */
  private final Map<String, Set<String>> doneInTime = new HashMap<>();

  private final Map<String, Set<String>> atRisk = new HashMap<>();

  ReleaseProgress(ClusterState state) {
    this.state = state;
  }

  /** Records that a job was done by the time of its occurrence. */
  void recordDoneInTime(Job job) {
    doneInTime.computeIfAbsent(job.release, name -> new HashSet<>()).add(job.spec.ref());
  }

  /** Records that a job may be late; true if it was not recorded before. */
  boolean recordAtRisk(Job job) {
    return atRisk.computeIfAbsent(job.release, name -> new HashSet<>()).add(job.spec.ref());
  }

  /** How many jobs were done in time. */
  int doneInTime(String occurrence) {
    return doneInTime.getOrDefault(occurrence, Set.of()).size();
  }

  /** How many jobs have not ended. */
  int openJobs(String occurrence) {
    int open = 0;
    for (Job job : state.jobs.values()) {
      open += isOpenFor(job, occurrence) ? 1 : 0;
    }
    return open;
  }

  /** How many jobs have not ended and could not meet their deadline if they started now. */
  int lateJobs(String occurrence, long wallMs) {
    int late = 0;
    for (Job job : state.jobs.values()) {
      late += isOpenFor(job, occurrence) && isLate(job, wallMs) ? 1 : 0;
    }
    return late;
  }

  private static boolean isOpenFor(Job job, String occurrence) {
    return occurrence.equals(job.release) && job.finalPhase == null;
  }

  /** Whether a job could not meet its deadline if it started now. */
  static boolean isLate(Job job, long wallMs) {
    return wallMs + job.remainingRunMs > job.releaseDeadlineMs;
  }
}
