package io.embernotch.reservation;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.FleetView.Headroom;
import io.embernotch.scheduling.Resources;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Reservation;
import io.embernotch.settings.Selector;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Computes how much is to be free for a reservation, as tasks like those that it serves. */
final class ReservationHeadroom {
  private final Reservation reservation;
  private final ClusterState state;
  private final List<Headroom> result = new ArrayList<>();

  /** What the open attempts of the reservation's work take, and how many there are. */
  private Resources used = Resources.ZERO;

  private int openAttempts;

  /** A job that the reservation serves; null while none is known. */
  private JobSpec sample;

  /** How many tasks the result has room for. */
  private double tasks;

  private ReservationHeadroom(Reservation reservation, ClusterState state) {
    this.reservation = reservation;
    this.state = state;
  }

  /**
   * What is to be free for a reservation beside what its work takes.
   *
   * @param headroom what each job class needs free
   */
  static List<Headroom> of(
      Reservation reservation,
      List<Headroom> headroom,
      ClusterState state,
      OperatorSettings operatorSettings) {
    ReservationHeadroom computation = new ReservationHeadroom(reservation, state);
    computation.addUsage();
    computation.addDeviations(headroom, operatorSettings);
    computation.addShare();
    if (reservation.fixed()) {
      computation.addMissing();
    }
    return computation.result;
  }

  private void addUsage() {
    for (Job job : state.jobs.values()) {
      if (job.finalPhase == null && reservation.serves(job.spec)) {
        used = used.plus(Resources.of(job.spec), job.openAttempts.size());
        openAttempts += job.openAttempts.size();
        sample = job.spec;
      }
    }
  }

  /** So many deviations of what comes of each job class in a boot time. */
  private void addDeviations(List<Headroom> headroom, OperatorSettings operatorSettings) {
    for (Headroom entry : headroom) {
      if (reservation.serves(entry.sample())) {
        sample = entry.sample();
        double factor =
            operatorSettings.serviceSpare() > 0 && entry.sample().shape() == JobShape.SERVICE
                ? reservation.deviations() / operatorSettings.serviceSpare()
                : reservation.deviations();
        int count = (int) Math.round(entry.count() * factor);
        tasks += count;
        if (count > 0) {
          result.add(new Headroom(entry.sample(), count));
        }
      }
    }
  }

  /** What is missing to a share of the open attempts. */
  private void addShare() {
    int missing = (int) Math.ceil(reservation.share() * openAttempts - tasks);
    if (missing > 0 && sample != null) {
      result.add(new Headroom(sample.withTasks(1), missing));
      tasks += missing;
    }
  }

  /** What is missing to a fixed amount beyond what is to be free anyway. */
  private void addMissing() {
    if (reservation.machines() > 0) {
      addMissingMachines();
    } else {
      addMissingAmount();
    }
  }

  private void addMissingMachines() {
    Optional<MachineType> allowed =
        state.types.values().stream()
            .filter(candidate -> reservation.allowsType(candidate.name()))
            .findFirst();
    if (allowed.isEmpty()) {
      return;
    }
    MachineType type = allowed.get();
    double usedMachines =
        Math.max(
            used.cpus() / Math.max(1, type.cpus()),
            type.gpus() > 0 ? used.gpus() / type.gpus() : 0);
    int filled = (int) Math.ceil(usedMachines);
    if (reservation.machines() > filled) {
      Resources whole = new Resources(type.cpus(), type.gpus(), type.memGb());
      result.add(new Headroom(exampleTask(whole), reservation.machines() - filled));
    }
  }

  private void addMissingAmount() {
    Resources missing =
        new Resources(reservation.cpus(), reservation.gpus(), reservation.memGb()).minus(used);
    if (missing.isZero()) {
      return;
    }
    Resources unit = sample != null ? Resources.of(sample) : exampleUnit();
    double missingTasks =
        Math.max(
            ratio(missing.cpus(), unit.cpus()),
            Math.max(ratio(missing.gpus(), unit.gpus()), ratio(missing.memGb(), unit.memGb())));
    int count = (int) Math.ceil(missingTasks - tasks);
    if (count > 0) {
      result.add(new Headroom(sample != null ? sample.withTasks(1) : exampleTask(unit), count));
    }
  }

  private static double ratio(double amount, double each) {
    return amount <= 0 || each <= 0 ? 0 : amount / each;
  }

  /** One GPU, or one CPU, and its share of the rest: while no work of the reservation is known. */
  private Resources exampleUnit() {
    double units = reservation.gpus() > 0 ? reservation.gpus() : Math.max(1, reservation.cpus());
    return new Resources(
        reservation.cpus() / units, reservation.gpus() / units, reservation.memGb() / units);
  }

  /** A task that the reservation would serve. */
  private JobSpec exampleTask(Resources amounts) {
    Selector selector = reservation.serves().get(0);
    return new JobSpec(
        "",
        selector.jobClass() == null ? reservation.name() : selector.jobClass(),
        selector.team() == null ? "" : selector.team(),
        selector.shape() == null ? JobShape.SERVICE : selector.shape(),
        selector.priority() == null ? Priority.PRODUCTION : selector.priority(),
        1,
        amounts.cpus(),
        amounts.gpus(),
        amounts.memGb(),
        "",
        0,
        reservation.types().isEmpty() ? null : reservation.types(),
        null,
        false,
        false,
        false,
        0,
        0,
        0,
        null,
        List.of());
  }
}
