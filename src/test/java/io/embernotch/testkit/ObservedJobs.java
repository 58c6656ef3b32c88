package io.embernotch.testkit;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What users and workers have seen of the jobs so far. Times are those of the fake clock. */
final class ObservedJobs {
  /** The first description that was seen of each job. */
  final Map<String, JobSpec> specs = new TreeMap<>();

  final Set<String> submitted = new TreeSet<>();
  final Set<String> accepted = new TreeSet<>();

  /** {@code done} or {@code cancelled}, of the jobs whose end was reported to a user. */
  final Map<String, String> finalPhases = new TreeMap<>();

  /** When a user first requested the cancellation of a job. */
  final Map<String, Double> cancelRequestedAt = new TreeMap<>();

  /** When the cancellation of a job was first confirmed to a user. */
  final Map<String, Double> cancelledAt = new TreeMap<>();

  private final Map<String, BitSet> doneTasks = new HashMap<>();

  /** A task's process has exited as done. */
  void taskDone(String task) {
    doneTasks
        .computeIfAbsent(TestJobs.refOf(task), ref -> new BitSet())
        .set(TestJobs.indexOf(task));
  }

  /** How many tasks of a job are done. */
  int doneCount(String ref) {
    return doneTasks.getOrDefault(ref, new BitSet()).cardinality();
  }

  /** Whether all that a job needs to be done is done; of a gang that is any task. */
  boolean isAllDone(String ref, JobSpec spec) {
    int done = doneCount(ref);
    return spec.shape() == JobShape.GANG ? done > 0 : done >= spec.tasks();
  }
}
