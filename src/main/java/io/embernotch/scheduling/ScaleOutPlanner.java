package io.embernotch.scheduling;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Chooses the machines that a plan rents. */
final class ScaleOutPlanner {
  /** The values of {@code spot}, in the order in which offers are compared. */
  private static final boolean[] SPOT_THEN_ORDINARY = {true, false};

  /**
   * Relative price surcharge for each machine that a zone already has, so that zones fill evenly.
   */
  private static final double ZONE_BALANCE_WEIGHT = 0.001;

  private final Map<String, MachineType> types;
  private final FleetView.Pools pools;
  private final CandidateMachines candidates;

  /** Number of machines to rent, by type, zone and spot; the keys have the number 0. */
  private final Map<SchedulingPlan.ScaleOutRequest, Integer> requested = new LinkedHashMap<>();

  /** How many more machines this plan may rent. */
  private int remaining;

  ScaleOutPlanner(
      Map<String, MachineType> types,
      FleetView.Pools pools,
      CandidateMachines candidates,
      int maxMachines) {
    this.types = types;
    this.pools = pools;
    this.candidates = candidates;
    this.remaining = maxMachines;
  }

  /**
   * Rents the machine with the lowest price for a task of this size.
   *
   * @param ordinaryToo whether an ordinary machine may be rented besides a spot machine
   * @return the machine, which has been added to the candidates; empty if none can be rented
   */
  Optional<CandidateMachine> request(JobSpec spec, ZoneConstraints zones, boolean ordinaryToo) {
    if (remaining <= 0) {
      return Optional.empty();
    }
    Optional<CandidateMachine> cheapest = cheapest(spec, zones, ordinaryToo);
    cheapest.ifPresent(this::add);
    return cheapest;
  }

  private void add(CandidateMachine machine) {
    remaining--;
    requested.merge(
        new SchedulingPlan.ScaleOutRequest(machine.type.name(), machine.zone, machine.spot, 0),
        1,
        Integer::sum);
    candidates.add(machine);
  }

  private Optional<CandidateMachine> cheapest(
      JobSpec spec, ZoneConstraints zones, boolean ordinaryToo) {
    CandidateMachine best = null;
    for (MachineType type : types.values()) {
      if (!type.fits(spec)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : SPOT_THEN_ORDINARY) {
          if ((!spot && !ordinaryToo)
              || zones.remaining(zone) == 0
              || !rentable(spec, type, zone, spot)) {
            continue;
          }
          CandidateMachine candidate = offer(spec, type, zone, spot);
          if (best == null || candidate.score < best.score) {
            best = candidate;
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** A machine that could be rented, scored by its price for one task. */
  private CandidateMachine offer(JobSpec spec, MachineType type, String zone, boolean spot) {
    CandidateMachine candidate =
        new CandidateMachine(CandidateMachine.State.SCALE_OUT, null, type, zone, spot);
    double price =
        (spot ? type.spotPrice() : type.price()) / Math.max(1, candidate.taskCapacity(spec, false));
    candidate.score = price * (1 + ZONE_BALANCE_WEIGHT * candidates.inZone(zone));
    return candidate;
  }

  /** Whether such a machine may be rented for the job; spot machines are rented for arrays only. */
  private boolean rentable(JobSpec spec, MachineType type, String zone, boolean spot) {
    return spec.allows(type.name(), zone, spot)
        && (!spot || spec.shape() == JobShape.ARRAY)
        && !pools.exhausted(type.name(), zone, spot);
  }

  /**
   * Whether the cloud is likely to have a spot machine for the job that is cheaper than an ordinary
   * one.
   */
  boolean spotAvailable(JobSpec spec) {
    for (MachineType type : types.values()) {
      if (type.fits(spec) && type.spotPrice() < type.price()) {
        for (String zone : type.zones()) {
          if (spec.allows(type.name(), zone, true) && !pools.exhausted(type.name(), zone, true)) {
            return true;
          }
        }
      }
    }
    return false;
  }

  /** Whether a machine for the job could be rented in the zone. */
  boolean available(JobSpec spec, String zone) {
    for (MachineType type : types.values()) {
      if (type.fits(spec) && type.zones().contains(zone)) {
        for (boolean spot : SPOT_THEN_ORDINARY) {
          if (rentable(spec, type, zone, spot)) {
            return true;
          }
        }
      }
    }
    return false;
  }

  /** Adds the requests to the plan. */
  void addTo(SchedulingPlanBuilder plan) {
    requested.forEach(
        (request, number) ->
            plan.scaleOut(
                new SchedulingPlan.ScaleOutRequest(
                    request.type(), request.zone(), request.spot(), number)));
  }
}
