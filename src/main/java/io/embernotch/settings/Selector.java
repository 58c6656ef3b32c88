package io.embernotch.settings;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Priority;
import java.util.List;

/**
 * Selects jobs: all that is given must match.
 *
 * @param priority priority of the job; null: any
 * @param shape shape of the job; null: any
 * @param team team of the job; null: any
 * @param jobClass class of the job; null: any
 */
public record Selector(Priority priority, JobShape shape, String team, String jobClass) {
  /** Whether a job is selected. */
  public boolean matches(JobSpec spec) {
    return (priority == null || priority == spec.priority())
        && (shape == null || shape == spec.shape())
        && (team == null || team.equals(spec.team()))
        && (jobClass == null || jobClass.equals(spec.jobClass()));
  }

  /** Whether some job may match both. */
  public boolean overlaps(Selector other) {
    return (priority == null || other.priority == null || priority == other.priority)
        && (shape == null || other.shape == null || shape == other.shape)
        && (team == null || other.team == null || team.equals(other.team))
        && (jobClass == null || other.jobClass == null || jobClass.equals(other.jobClass));
  }

  /** Whether any of some selectors selects a job. */
  static boolean anyMatches(List<Selector> selectors, JobSpec spec) {
    for (Selector selector : selectors) {
      if (selector.matches(spec)) {
        return true;
      }
    }
    return false;
  }
}
