package io.embernotch.straggler;

import java.util.List;

/**
 * What the owner of a part knows of one machine: its size and price, what is free on it, what it
 * finished lately (job mean over actual run time) and which array tasks run on it.
 */
public record MachineView(
    String machine,
    String type,
    String zone,
    boolean spot,
    int cores,
    double pricePerS,
    boolean usable,
    double freeCpus,
    double freeGpus,
    double freeMemGb,
    int busyTasks,
    List<Double> ratios,
    List<TaskView> tasks) {

  /** A running array task; {@code jobMeanS} is 0 until a task of its job has finished. */
  public record TaskView(
      String ref,
      int task,
      long attempt,
      double elapsedS,
      double jobMeanS,
      double cpus,
      double gpus,
      double memGb,
      boolean spotAllowed,
      String zone,
      List<String> types) {}

  boolean hasRoomFor(TaskView task) {
    return usable
        && freeCpus >= task.cpus() - 1e-9
        && freeGpus >= task.gpus() - 1e-9
        && freeMemGb >= task.memGb() - 1e-9
        && (task.spotAllowed() || !spot)
        && (task.zone() == null || task.zone().equals(zone))
        && (task.types() == null || task.types().contains(type));
  }
}
