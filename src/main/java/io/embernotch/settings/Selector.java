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
  public boolean overlaps(Selector o) {
    return (priority == null || o.priority == null || priority == o.priority)
        && (shape == null || o.shape == null || shape == o.shape)
        && (team == null || o.team == null || team.equals(o.team))
        && (jobClass == null || o.jobClass == null || jobClass.equals(o.jobClass));
  }
}
