package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates an hour of 40 services with images of 20 to 120 GB on 64 machines. Single machines fail
 * at random, and after half an hour a fifth of the machines of one zone.
 */
final class ServiceFailureSimulation {
  /**
   * The cost of an hour.
   *
   * @param lostS seconds of replica downtime after the first starts
   * @param weightedS the same, each second weighted by the share of the service that is down
   * @param fetchedGb gigabytes of images fetched
   */
  record Result(double lostS, double weightedS, double fetchedGb) {
    /** The sum of this and {@code share} times the other. */
    Result plus(Result other, double share) {
      return new Result(
          lostS + other.lostS * share,
          weightedS + other.weightedS * share,
          fetchedGb + other.fetchedGb * share);
    }
  }

  private static final int SECONDS = 3600;

  /** Seconds in which services start for the first time; downtime in them does not count. */
  private static final int WARM_UP_S = 200;

  private final ServiceFleet fleet = new ServiceFleet();
  private final SplittableRandom random;
  private final FailureRisk risk;
  private final Map<Attempt, Double> readyAt = new HashMap<>();
  private double lostS;
  private double weightedS;
  private double fetchedGb;

  private ServiceFailureSimulation(long seed, FailureRisk risk) {
    this.random = new SplittableRandom(seed);
    this.risk = risk;
    for (int i = 0; i < 64; i++) {
      fleet.machine(i % 3 == 0 ? "z2" : "z1");
    }
    for (int i = 0; i < 40; i++) {
      fleet.service("j-" + i, 2 + random.nextInt(7), 20 + random.nextInt(101));
    }
  }

  /** Simulates an hour in which the scheduler assumes this risk. */
  static Result run(long seed, FailureRisk risk) {
    ServiceFailureSimulation simulation = new ServiceFailureSimulation(seed, risk);
    for (int second = 0; second < SECONDS; second++, simulation.fleet.now++) {
      simulation.failMachines(second);
      simulation.startReplicas();
      if (second > WARM_UP_S) {
        simulation.countLost();
      }
    }
    return new Result(simulation.lostS, simulation.weightedS, simulation.fetchedGb);
  }

  private void failMachines(int second) {
    Set<Machine> failed = new LinkedHashSet<>();
    for (Machine machine : fleet.machines) {
      if (random.nextInt(SECONDS) < 2
          || (second == SECONDS / 2 && machine.zone.equals("z1") && random.nextInt(5) == 0)) {
        failed.add(machine);
      }
    }
    for (Machine machine : failed) {
      for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
        attempt.job.openAttempts.remove(attempt.task);
        attempt.job.restartedTasks.set(attempt.task);
        readyAt.remove(attempt);
      }
      fleet.machines.remove(machine);
      fleet.machine(machine.zone);
    }
  }

  private void startReplicas() {
    for (SchedulingPlan.Start start : fleet.plan(risk).starts()) {
      for (SchedulingPlan.Placement placement : start.placements()) {
        Attempt attempt = PlanExecution.start(start, placement);
        readyAt.put(attempt, fleet.now + fetch(start.job(), placement.machine()));
      }
    }
  }

  /** Caches an image on a machine; returns the gigabytes fetched, each of which takes a second. */
  private double fetch(Job job, Machine machine) {
    String image = job.spec.image();
    boolean cached = machine.images.remove(image);
    machine.images.add(image);
    double fetched = cached ? 0 : job.spec.imageGb();
    fetchedGb += fetched;
    double cachedGb = machine.images.stream().mapToDouble(this::sizeGb).sum();
    while (cachedGb > ServiceFleet.G8.cacheGb()) {
      String oldest = machine.images.iterator().next();
      machine.images.remove(oldest);
      cachedGb -= sizeGb(oldest);
    }
    return fetched;
  }

  private double sizeGb(String image) {
    return fleet.jobs.stream()
        .filter(job -> job.spec.image().equals(image))
        .mapToDouble(job -> job.spec.imageGb())
        .findFirst()
        .orElse(0);
  }

  private void countLost() {
    for (Job job : fleet.jobs) {
      int down = 0;
      for (int task = 0; task < job.spec.tasks(); task++) {
        Attempt attempt = job.openAttempts.get(task);
        down += attempt == null || readyAt.getOrDefault(attempt, 0.0) > fleet.now ? 1 : 0;
      }
      lostS += down;
      weightedS += down * (double) down / job.spec.tasks();
    }
  }
}
