package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/** What the planner has to know of the fleet beyond the machines themselves. */
public final class FleetView {
  private FleetView() {}

  /** Machines that a rental request under way may yet bring. */
  public record Expected(String type, String zone, boolean spot, int number) {}

  /** Room to be kept free: {@code count} tasks, or gangs, like {@code like}. */
  public record Headroom(JobSpec like, int count) {}

  /** Whether the cloud has lately said that it has none of these. */
  public interface Pools {
    boolean exhausted(String type, String zone, boolean spot);
  }
}
