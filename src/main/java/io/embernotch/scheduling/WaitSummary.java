package io.embernotch.scheduling;

import io.embernotch.model.Job;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

/** Counts the jobs and tasks that a plan left waiting, by reason, with an example for each. */
public final class WaitSummary {
  /**
   * The jobs that wait for one reason.
   *
   * @param jobs number of jobs
   * @param tasks number of their tasks
   * @param firstJob id of the first of these jobs in the order of the plan
   * @param gang id of the gang for which the team's quota is kept; null for other reasons
   */
  public record Waits(int jobs, int tasks, String firstJob, String gang) {
    private Waits plus(int moreTasks) {
      return new Waits(jobs + 1, tasks + moreTasks, firstJob, gang);
    }

    @Override
    public String toString() {
      return "%d jobs, %d tasks (first %s%s)"
          .formatted(jobs, tasks, firstJob, gang == null ? "" : " behind " + gang);
    }
  }

  /**
   * Number of a team's GPUs by use.
   *
   * @param open GPUs of open attempts, including those of jobs that have ended
   * @param claimed GPUs of tasks that the plan starts or claims capacity for
   * @param kept GPUs kept for waiting gangs
   * @param limit the team's limit; 0 if there is none
   */
  public record TeamGpus(double open, double claimed, double kept, double limit) {
    @Override
    public String toString() {
      return "%.0f open, %.0f claimed, %.0f kept of %.0f".formatted(open, claimed, kept, limit);
    }
  }

  private final Map<WaitReason, Waits> byReason = new EnumMap<>(WaitReason.class);
  private Map<String, TeamGpus> gpusByTeam = Map.of();

  void setGpusByTeam(Map<String, TeamGpus> gpus) {
    gpusByTeam = gpus;
  }

  /** The GPUs of the teams that use any, in the order of their names. */
  public Map<String, TeamGpus> gpusByTeam() {
    return gpusByTeam;
  }

  void add(Job job, int tasks, WaitReason reason, String gang) {
    byReason.merge(
        reason,
        new Waits(1, tasks, job.spec.ref(), gang),
        (earlier, added) -> earlier.plus(added.tasks()));
  }

  /**
   * The waiting jobs by reason, in the order of {@link WaitReason}, without reasons for which no
   * job waits.
   */
  public Map<WaitReason, Waits> byReason() {
    return byReason;
  }

  /** One line for the log; null if no job waits. */
  public String line() {
    return byReason.isEmpty()
        ? null
        : byReason.entrySet().stream()
            .map(entry -> entry.getKey().text() + " " + entry.getValue())
            .collect(Collectors.joining("; "));
  }
}
