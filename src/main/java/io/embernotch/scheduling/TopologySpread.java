package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * Where the replicas of one service go: where its weights lie, against the wish to spread. One
 * measure for both, seconds of replica time: a replica that must fetch is lost for as long as that
 * takes. Of failures it is expected that, within the horizon, a machine with k replicas of n fails
 * with its rate; they are down until that is noticed and, where the weights lie on no other
 * machine, for a fetch; and each second counts by the share of the service that is down at once, k
 * of n. Another replica on that machine adds (k+1)² - k² = 2k + 1 of n to that; the same of its
 * zone. That pays for no fetch where there is none to be saved later: weights on another machine
 * count only while that has room.
 */
final class TopologySpread {
  /**
   * So many of the best machines are weighed for each replica: what speaks for spreading is small
   * beside a fetch.
   */
  private static final int WEIGHED_PER_REPLICA = 4;

  private final CandidateMachines candidates;
  private final FailureRisk risk;

  /** Machines that have an image. */
  private Map<String, List<CandidateMachine>> machinesByImage;

  TopologySpread(CandidateMachines slots, FailureRisk risk) {
    this.candidates = slots;
    this.risk = risk;
  }

  private List<CandidateMachine> machinesByImage(String image) {
    if (machinesByImage == null) {
      machinesByImage = new HashMap<>();
      for (CandidateMachine candidate : candidates.all()) {
        if (candidate.state == CandidateMachine.State.UP) {
          candidate.machine.images.forEach(
              i -> machinesByImage.computeIfAbsent(i, x -> new ArrayList<>()).add(candidate));
        }
      }
    }
    return machinesByImage.getOrDefault(image, List.of());
  }

  /** Seconds of replica time that one more replica is expected to lose by failures there. */
  static double lostS(
      FailureRisk r,
      int replicas,
      double fetchS,
      int onMachine,
      int inZone,
      boolean otherMachine,
      boolean otherZone) {
    double machine =
        r.machinePerS() * (r.noticedS() + (otherMachine ? 0 : fetchS)) * (2 * onMachine + 1);
    double zone = r.zonePerS() * (r.noticedS() + (otherZone ? 0 : fetchS)) * (2 * inZone + 1);
    return r.horizonS() * (machine + zone) / Math.max(1, replicas);
  }

  /** Replicas of the service on a machine. */
  static int replicasOn(CandidateMachine candidate, JobSpec spec) {
    int n = 0;
    for (Attempt attempt : candidate.machine.openAttempts.values()) {
      n += attempt.job.spec.ref().equals(spec.ref()) ? 1 : 0;
    }
    return n;
  }

  /** What a placement does to a slot. */
  interface PlacementListener {
    void on(CandidateMachine slot);
  }

  /**
   * Places up to {@code wanted} replicas one by one, each where it loses least.
   *
   * @param best machines with room, best first
   * @param score seconds of delay on a machine as it is then, failures aside
   */
  int place(
      List<CandidateMachine> best,
      JobSpec spec,
      int wanted,
      ZoneConstraints zones,
      ToDoubleFunction<CandidateMachine> score,
      PlacementListener placed) {
    List<CandidateMachine> weighed =
        best.subList(0, Math.min(best.size(), WEIGHED_PER_REPLICA * (wanted + 1)));
    Map<CandidateMachine, Integer> there = new HashMap<>();
    weighed.forEach(candidate -> there.put(candidate, replicasOn(candidate, spec)));
    Set<String> zonesWith = new TreeSet<>();
    int holding = 0;
    for (CandidateMachine candidate : machinesByImage(spec.image())) {
      if (candidate.taskCapacity(spec, false) > 0) {
        holding++;
        zonesWith.add(candidate.zone);
      }
    }
    int done = 0;
    while (done < wanted) {
      CandidateMachine to = null;
      double least = 0;
      for (CandidateMachine candidate : weighed) {
        if (zones.remaining(candidate.zone) > 0 && candidate.taskCapacity(spec, false) > 0) {
          boolean has = candidate.machine.images.contains(spec.image());
          double fetchS = candidate.type.fetchS(spec);
          double lost =
              score.applyAsDouble(candidate)
                  + lostS(
                      risk,
                      spec.tasks(),
                      fetchS,
                      there.get(candidate),
                      zones.count(candidate.zone),
                      holding > (has ? 1 : 0),
                      zonesWith.size() > (zonesWith.contains(candidate.zone) ? 1 : 0));
          if (to == null || lost < least) {
            to = candidate;
            least = lost;
          }
        }
      }
      if (to == null) {
        break;
      }
      placed.on(to);
      there.merge(to, 1, Integer::sum);
      if (!to.machine.images.contains(spec.image()) && there.get(to) == 1) {
        holding++;
        zonesWith.add(to.zone);
      }
      done++;
    }
    return done;
  }
}
