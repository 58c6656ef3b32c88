package io.embernotch.scheduling;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import java.util.LinkedHashMap;
import java.util.Map;

/** Which machines a plan rents. */
final class ScaleOutPlanner {
  private static final boolean[] SPOT_THEN_ORDINARY = {true, false};

  private final Map<String, MachineType> types;
  private final FleetView.Pools pools;
  private final CandidateMachines candidates;
  private final Map<SchedulingPlan.ScaleOutRequest, Integer> requested = new LinkedHashMap<>();
  private int remaining;

  ScaleOutPlanner(
      Map<String, MachineType> types, FleetView.Pools pools, CandidateMachines slots, int most) {
    this.types = types;
    this.pools = pools;
    this.candidates = slots;
    this.remaining = most;
  }

  /** Rents the machine with the lowest price for a task of this size; zones are filled evenly. */
  CandidateMachine request(JobSpec spec, ZoneConstraints zones, boolean ordinaryToo) {
    if (remaining <= 0) {
      return null;
    }
    CandidateMachine best = null;
    for (MachineType type : types.values()) {
      if (!type.fits(spec)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : SPOT_THEN_ORDINARY) {
          if (!spec.allows(type.name(), zone, spot)
              || spot && spec.shape() != JobShape.ARRAY
              || !spot && !ordinaryToo
              || zones.remaining(zone) == 0
              || pools.exhausted(type.name(), zone, spot)) {
            continue;
          }
          CandidateMachine candidate =
              new CandidateMachine(CandidateMachine.State.SCALE_OUT, null, type, zone, spot);
          double price =
              (spot ? type.spotPrice() : type.price())
                  / Math.max(1, candidate.taskCapacity(spec, false));
          candidate.score = price * (1 + 0.001 * candidates.countByZone(zone));
          if (best == null || candidate.score < best.score) {
            best = candidate;
          }
        }
      }
    }
    if (best != null) {
      remaining--;
      requested.merge(
          new SchedulingPlan.ScaleOutRequest(best.type.name(), best.zone, best.spot, 0),
          1,
          Integer::sum);
      candidates.add(best);
    }
    return best;
  }

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

  boolean available(JobSpec spec, String zone) {
    for (MachineType type : types.values()) {
      if (type.fits(spec) && type.zones().contains(zone)) {
        for (boolean spot : SPOT_THEN_ORDINARY) {
          if (spec.allows(type.name(), zone, spot)
              && !(spot && spec.shape() != JobShape.ARRAY)
              && !pools.exhausted(type.name(), zone, spot)) {
            return true;
          }
        }
      }
    }
    return false;
  }

  void addTo(SchedulingPlan plan) {
    requested.forEach(
        (b, n) ->
            plan.scaleOuts.add(
                new SchedulingPlan.ScaleOutRequest(b.type(), b.zone(), b.spot(), n)));
  }
}
