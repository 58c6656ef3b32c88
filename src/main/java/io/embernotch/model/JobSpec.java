package io.embernotch.model;

import java.util.List;

/**
 * A job as its user submitted it.
 *
 * @param ref id of the job, chosen by its user
 * @param jobClass class of jobs that it belongs to, by which objectives and selectors match
 * @param team team whose guarantee and limit apply
 * @param shape how its tasks belong together
 * @param priority its own priority
 * @param tasks number of tasks, at least 1; tasks are numbered from 0
 * @param cpus CPUs that each task takes
 * @param gpus GPUs that each task takes
 * @param memGb memory in GB that each task takes
 * @param image name of the image that tasks run
 * @param imageGb size of that image in GB
 * @param types names of the allowed machine types; null: any
 * @param zone the only allowed zone; null: any
 * @param oneZone whether all tasks must be in the same zone
 * @param spread whether at most half of the tasks, rounded up, may be in one zone
 * @param spot whether tasks may run on spot machines
 * @param expectS its user's estimate of a task's run time in seconds; 0 for services
 * @param checkpointS seconds of progress between two checkpoints of a task; 0: it takes none
 * @param saveS seconds that a task needs to save when it is stopped
 * @param dueS seconds after the submission by which it should be done; null: no deadline
 * @param dependencies ids of the jobs that must be done before any task of this one starts
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

  /** Whether tasks may run on machines of a type, in a zone, on spot machines or not. */
  public boolean allows(String type, String inZone, boolean onSpot) {
    return (types == null || types.contains(type))
        && (zone == null || zone.equals(inZone))
        && (spot || !onSpot);
  }

  /** The same job with another number of tasks. */
  public JobSpec withTasks(int number) {
    return with(number, cpus, gpus, memGb);
  }

  /** The same job with tasks that take only a share of their resources. */
  public JobSpec withShare(double share) {
    return with(tasks, cpus * share, gpus * share, memGb * share);
  }

  private JobSpec with(int newTasks, double newCpus, double newGpus, double newMemGb) {
    return new JobSpec(
        ref,
        jobClass,
        team,
        shape,
        priority,
        newTasks,
        newCpus,
        newGpus,
        newMemGb,
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

  /** Most tasks that may be in one zone. */
  public int zoneCap() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
