package io.embernotch.scheduling;

import io.embernotch.model.Job;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

/** How many jobs and tasks a plan left waiting, by the reason, with an example of each. */
public final class WaitSummary {
  /**
   * What waits for one reason.
   *
   * @param jobs number of jobs
   * @param tasks number of their tasks
   * @param firstJob id of the first of these jobs in the order of the plan
   * @param gang id of the gang that it waits behind; null if that is not the reason
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
   * A team's GPUs as a plan counts them.
   *
   * @param open taken by open attempts, whatever has become of their jobs
   * @param claimed taken by what the plan starts, or claims capacity for
   * @param kept kept for gangs that wait
   * @param limit the team's limit; 0 is none
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

  /** What waits, in the order of the reasons; reasons that nothing waits for are left out. */
  public Map<WaitReason, Waits> byReason() {
    return byReason;
  }

  /** One line for the log; null if nothing waits. */
  public String line() {
    return byReason.isEmpty()
        ? null
        : byReason.entrySet().stream()
            .map(entry -> entry.getKey().text() + " " + entry.getValue())
            .collect(Collectors.joining("; "));
  }
}
