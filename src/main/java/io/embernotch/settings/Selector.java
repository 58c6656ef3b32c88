package io.embernotch.settings;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Priority;

/** Which jobs something is about: all that is given must match; null: any. */
public record Selector(Priority priority, JobShape shape, String team, String jobClass) {
  public boolean matches(JobSpec spec) {
    return (priority == null || priority == spec.priority())
        && (shape == null || shape == spec.shape())
        && (team == null || team.equals(spec.team()))
        && (jobClass == null || jobClass.equals(spec.jobClass()));
  }

  /** Some job may match both. */
  public boolean overlaps(Selector other) {
    return (priority == null || other.priority == null || priority == other.priority)
        && (shape == null || other.shape == null || shape == other.shape)
        && (team == null || other.team == null || team.equals(other.team))
        && (jobClass == null || other.jobClass == null || jobClass.equals(other.jobClass));
  }
}
