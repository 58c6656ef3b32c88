package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Places the replicas of one service, weighing image locality against spreading. The costs of both
 * are seconds of replica downtime. A replica that must fetch its image is down until it has been
 * fetched. A machine that runs k of n replicas is expected to fail at its failure rate within the
 * horizon. Its replicas are then down until the failure is detected and, if no other machine has
 * the image, until it has been fetched. Each second is weighted by the share of the service that is
 * down at once, k of n, so that a further replica on that machine adds (k+1)² - k² = 2k + 1 of n to
 * the cost. The same holds for zones. An image on another machine only saves a fetch after a
 * failure if that machine has free capacity, so it counts only then.
 */
final class TopologySpread {
  /**
   * Number of the best machines that are compared for each replica. Few are enough: spreading gains
   * little compared with the cost of a fetch.
   */
  private static final int COMPARED_PER_REPLICA = 4;

  private final CandidateMachines candidates;
  private final FailureRisk risk;

  /** Machines that have an image, by image; null until first needed. */
  private Map<String, List<CandidateMachine>> machinesByImage;

  TopologySpread(CandidateMachines candidates, FailureRisk risk) {
    this.candidates = candidates;
    this.risk = risk;
  }

  private List<CandidateMachine> machinesWith(String image) {
    if (machinesByImage == null) {
      machinesByImage = new HashMap<>();
      for (CandidateMachine candidate : candidates.all()) {
        if (candidate.state == CandidateMachine.State.UP) {
          candidate.machine.images.forEach(
              cached ->
                  machinesByImage.computeIfAbsent(cached, key -> new ArrayList<>()).add(candidate));
        }
      }
    }
    return machinesByImage.getOrDefault(image, List.of());
  }

  /** Seconds of replica time that one more replica on a machine is expected to lose by failures. */
  static double expectedLossS(
      FailureRisk risk,
      int replicas,
      double fetchS,
      int onMachine,
      int inZone,
      boolean imageOnOtherMachine,
      boolean imageInOtherZone) {
    double machine =
        risk.machinePerS()
            * (risk.detectionS() + (imageOnOtherMachine ? 0 : fetchS))
            * (2 * onMachine + 1);
    double zone =
        risk.zonePerS() * (risk.detectionS() + (imageInOtherZone ? 0 : fetchS)) * (2 * inZone + 1);
    return risk.horizonS() * (machine + zone) / Math.max(1, replicas);
  }

  /**
   * Places replicas one by one, each on the machine where the expected loss is least.
   *
   * @param ranked machines with free capacity, best first
   * @param listener allocates the capacity; called once for each replica
   * @return how many replicas were placed
   */
  int place(List<CandidateMachine> ranked, AllocationRequest request, AllocationListener listener) {
    int compared = COMPARED_PER_REPLICA * (request.wanted() + 1);
    ReplicaDistribution distribution =
        new ReplicaDistribution(ranked.subList(0, Math.min(ranked.size(), compared)), request);
    int placed = 0;
    while (placed < request.wanted()) {
      CandidateMachine best = distribution.machineWithLeastLoss();
      if (best == null) {
        break;
      }
      listener.allocated(best, 1);
      distribution.addReplica(best);
      placed++;
    }
    return placed;
  }

  /** Counts the replicas and image copies of one service while its replicas are placed. */
  private final class ReplicaDistribution {
    private final List<CandidateMachine> compared;
    private final AllocationRequest request;
    private final JobSpec spec;
    private final Map<CandidateMachine, Integer> replicas = new HashMap<>();
    private final Set<String> zonesWithImage = new TreeSet<>();
    private int machinesWithImage;

    ReplicaDistribution(List<CandidateMachine> compared, AllocationRequest request) {
      this.compared = compared;
      this.request = request;
      this.spec = request.spec();
      compared.forEach(candidate -> replicas.put(candidate, openReplicas(candidate)));
      for (CandidateMachine candidate : machinesWith(spec.image())) {
        if (candidate.taskCapacity(spec, false) > 0) {
          machinesWithImage++;
          zonesWithImage.add(candidate.zone);
        }
      }
    }

    private int openReplicas(CandidateMachine candidate) {
      int count = 0;
      for (Attempt attempt : candidate.machine.openAttempts.values()) {
        count += attempt.job.spec.ref().equals(spec.ref()) ? 1 : 0;
      }
      return count;
    }

    private boolean hasImage(CandidateMachine candidate) {
      return candidate.machine.images.contains(spec.image());
    }

    /** The machine with the least expected loss for one more replica; null if none has capacity. */
    CandidateMachine machineWithLeastLoss() {
      CandidateMachine best = null;
      double least = 0;
      for (CandidateMachine candidate : compared) {
        if (request.zones().remaining(candidate.zone) > 0
            && candidate.taskCapacity(spec, false) > 0) {
          double loss = request.score().applyAsDouble(candidate) + lostByFailuresS(candidate);
          if (best == null || loss < least) {
            best = candidate;
            least = loss;
          }
        }
      }
      return best;
    }

    private double lostByFailuresS(CandidateMachine candidate) {
      return expectedLossS(
          risk,
          spec.tasks(),
          candidate.type.fetchS(spec),
          replicas.get(candidate),
          request.zones().count(candidate.zone),
          machinesWithImage > (hasImage(candidate) ? 1 : 0),
          zonesWithImage.size() > (zonesWithImage.contains(candidate.zone) ? 1 : 0));
    }

    void addReplica(CandidateMachine candidate) {
      replicas.merge(candidate, 1, Integer::sum);
      if (!hasImage(candidate) && replicas.get(candidate) == 1) {
        machinesWithImage++;
        zonesWithImage.add(candidate.zone);
      }
    }
  }
}
