package io.embernotch.scheduling;

import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import java.util.LinkedHashMap;
import java.util.Map;

/** Which machines a plan rents. */
final class ScaleOutPlanner {
  private static final boolean[] KINDS = {true, false};

  private final Map<String, MachineType> types;
  private final FleetView.Pools pools;
  private final CandidateMachines slots;
  private final Map<SchedulingPlan.ScaleOutRequest, Integer> bought = new LinkedHashMap<>();
  private int left;

  ScaleOutPlanner(
      Map<String, MachineType> types, FleetView.Pools pools, CandidateMachines slots, int most) {
    this.types = types;
    this.pools = pools;
    this.slots = slots;
    this.left = most;
  }

  /** Rents the machine with the lowest price for a task of this size; zones are filled evenly. */
  CandidateMachine buy(JobSpec spec, ZoneConstraints zones, boolean ordinaryToo) {
    if (left <= 0) {
      return null;
    }
    CandidateMachine best = null;
    for (MachineType type : types.values()) {
      if (!type.fits(spec)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : KINDS) {
          if (!spec.allows(type.name(), zone, spot)
              || spot && spec.shape() != JobShape.ARRAY
              || !spot && !ordinaryToo
              || zones.room(zone) == 0
              || pools.exhausted(type.name(), zone, spot)) {
            continue;
          }
          CandidateMachine candidate =
              new CandidateMachine(CandidateMachine.Kind.NEW, null, type, zone, spot);
          double price =
              (spot ? type.spotPrice() : type.price()) / Math.max(1, candidate.count(spec, false));
          candidate.score = price * (1 + 0.001 * slots.inZone(zone));
          if (best == null || candidate.score < best.score) {
            best = candidate;
          }
        }
      }
    }
    if (best != null) {
      left--;
      bought.merge(
          new SchedulingPlan.ScaleOutRequest(best.type.name(), best.zone, best.spot, 0),
          1,
          Integer::sum);
      slots.add(best);
    }
    return best;
  }

  boolean spotToBeHad(JobSpec spec) {
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

  boolean canBuy(JobSpec spec, String zone) {
    for (MachineType type : types.values()) {
      if (type.fits(spec) && type.zones().contains(zone)) {
        for (boolean spot : KINDS) {
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

  void collect(SchedulingPlan plan) {
    bought.forEach(
        (b, n) ->
            plan.scaleOuts.add(
                new SchedulingPlan.ScaleOutRequest(b.type(), b.zone(), b.spot(), n)));
  }
}
