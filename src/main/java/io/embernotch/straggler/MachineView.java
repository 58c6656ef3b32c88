package io.embernotch.straggler;

import java.util.List;

/**
 * What the owner of a partition knows of one machine.
 *
 * @param machine name of the machine
 * @param type name of its machine type
 * @param zone zone it is in
 * @param spot whether the cloud may reclaim it
 * @param cores number of its CPUs, at least 1
 * @param pricePerS price per second
 * @param usable whether new tasks may be started on it
 * @param freeCpus CPUs that neither tasks nor reservations take
 * @param freeGpus GPUs that neither tasks nor reservations take
 * @param freeMemGb memory in GB that neither tasks nor reservations take
 * @param busyTasks number of tasks on it, of all shapes
 * @param ratios job mean over actual run time of the tasks that it finished lately
 * @param tasks array tasks that run on it
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

  /** Amounts differ by less than this through rounding alone. */
  private static final double ROUNDING = 1e-9;

  /**
   * A running array task.
   *
   * @param ref id of its job
   * @param task number of the task within its job
   * @param attempt number of the running attempt
   * @param elapsedS seconds for which it has run
   * @param jobMeanS mean run time of its job's finished tasks in seconds; 0 until one has finished
   * @param cpus CPUs that it takes
   * @param gpus GPUs that it takes
   * @param memGb memory in GB that it takes
   * @param spotAllowed whether it may run on spot machines
   * @param zone the only zone it may run in; null: any
   * @param types names of the machine types it may run on; null: any
   */
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
      List<String> types) {

    /** The same task {@code seconds} later. */
    TaskView agedBy(double seconds) {
      return new TaskView(
          ref,
          task,
          attempt,
          elapsedS + seconds,
          jobMeanS,
          cpus,
          gpus,
          memGb,
          spotAllowed,
          zone,
          types);
    }
  }

  /** Whether a task may be started here, and fits what is free. */
  boolean hasRoomFor(TaskView task) {
    return usable
        && freeCpus >= task.cpus() - ROUNDING
        && freeGpus >= task.gpus() - ROUNDING
        && freeMemGb >= task.memGb() - ROUNDING
        && (task.spotAllowed() || !spot)
        && (task.zone() == null || task.zone().equals(zone))
        && (task.types() == null || task.types().contains(type));
  }

  /** The same machine {@code seconds} later, if nothing but the time has changed. */
  MachineView agedBy(double seconds) {
    List<TaskView> aged = tasks.stream().map(task -> task.agedBy(seconds)).toList();
    return with(freeCpus, freeGpus, freeMemGb, busyTasks, aged);
  }

  /** The same machine after a task was given room on it, before that task runs. */
  MachineView withPlaced(TaskView task) {
    return with(
        freeCpus - task.cpus(),
        freeGpus - task.gpus(),
        freeMemGb - task.memGb(),
        busyTasks + 1,
        tasks);
  }

  private MachineView with(
      double newFreeCpus,
      double newFreeGpus,
      double newFreeMemGb,
      int newBusyTasks,
      List<TaskView> newTasks) {
    return new MachineView(
        machine,
        type,
        zone,
        spot,
        cores,
        pricePerS,
        usable,
        newFreeCpus,
        newFreeGpus,
        newFreeMemGb,
        newBusyTasks,
        ratios,
        newTasks);
  }
}
