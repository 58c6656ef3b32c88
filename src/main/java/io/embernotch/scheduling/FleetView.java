package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/** Input of the scheduler about the fleet, other than the machines themselves. */
public final class FleetView {
  private FleetView() {}

  /**
   * Machines that a rental request in flight may still provide.
   *
   * @param type name of the machine type
   * @param zone their zone
   * @param spot whether they are spot machines
   * @param number how many
   */
  public record Expected(String type, String zone, boolean spot, int number) {}

  /**
   * Capacity to keep free.
   *
   * @param sample a job with the requirements of the tasks that the capacity is for
   * @param count number of tasks that the capacity must be enough for
   */
  public record Headroom(JobSpec sample, int count) {}

  /** The machines that the cloud has run out of. */
  public interface Pools {
    /** Whether the cloud has recently reported that it has no such machines. */
    boolean exhausted(String type, String zone, boolean spot);
  }
}
