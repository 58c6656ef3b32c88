package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/** What the scheduler has to know of the fleet beyond the machines themselves. */
public final class FleetView {
  private FleetView() {}

  /**
   * Machines that a rental request in flight may yet bring.
   *
   * @param type name of the machine type
   * @param zone their zone
   * @param spot whether they are spot machines
   * @param number how many
   */
  public record Expected(String type, String zone, boolean spot, int number) {}

  /**
   * Capacity to be kept free.
   *
   * @param sample a sample of the tasks, or of the gangs, that it is for
   * @param count for how many of them
   */
  public record Headroom(JobSpec sample, int count) {}

  /** What the cloud can be expected to have. */
  public interface Pools {
    /** Whether the cloud has lately reported that it has no such machines. */
    boolean exhausted(String type, String zone, boolean spot);
  }
}
