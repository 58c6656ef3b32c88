package io.embernotch.model;

import java.util.List;

/**
 * A job as its user submitted it. {@code types}, {@code zone} and {@code dueS} may be null. {@code
 * awaits} names the jobs that must be done before any task of this one starts.
 */
public record JobSpec(
    String ref,
    String jobClass,
    String team,
    JobShape shape,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    double expectS,
    double checkpointS,
    double saveS,
    Double dueS,
    List<String> dependencies) {

  public boolean allows(String type, String inZone, boolean onSpot) {
    return (types == null || types.contains(type))
        && (zone == null || zone.equals(inZone))
        && (spot || !onSpot);
  }

  /** The same job with another number of tasks. */
  public JobSpec withTasks(int number) {
    return new JobSpec(
        ref,
        jobClass,
        team,
        shape,
        priority,
        number,
        cpus,
        gpus,
        memGb,
        image,
        imageGb,
        types,
        zone,
        oneZone,
        spread,
        spot,
        expectS,
        checkpointS,
        saveS,
        dueS,
        dependencies);
  }

  /** The same job with tasks that take only a part of what they take. */
  public JobSpec withShare(double share) {
    return new JobSpec(
        ref,
        jobClass,
        team,
        shape,
        priority,
        tasks,
        cpus * share,
        gpus * share,
        memGb * share,
        image,
        imageGb,
        types,
        zone,
        oneZone,
        spread,
        spot,
        expectS,
        checkpointS,
        saveS,
        dueS,
        dependencies);
  }

  /** Most tasks that may be in one zone when the job must be spread. */
  public int zoneCap() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
