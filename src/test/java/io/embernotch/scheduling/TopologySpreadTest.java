package io.embernotch.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Machine;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Placement of replicas: image locality against spreading. */
class TopologySpreadTest {
  private static final double LEASE_S = 30;
  private static final int SEEDS = 3;

  private final ServiceFleet fleet = new ServiceFleet();

  /** Replicas that a plan places, by machine. */
  private Map<Machine, Integer> placed(FailureRisk risk) {
    Map<Machine, Integer> replicas = new HashMap<>();
    for (SchedulingPlan.Start start : fleet.plan(risk).starts()) {
      start.placements().forEach(placement -> replicas.merge(placement.machine(), 1, Integer::sum));
    }
    return replicas;
  }

  private static FailureRisk failures(double perHour) {
    return new FailureRisk(perHour / 3600, perHour / 36_000, 5 * LEASE_S, LEASE_S);
  }

  @Test
  void withoutFailuresReplicasAreStartedWhereTheirImageIs() {
    fleet.machine("z1");
    Machine withImage = fleet.machine("z2", "img-j-1");
    fleet.service("j-1", 4, 60);
    assertThat(placed(FailureRisk.NONE)).containsExactly(Map.entry(withImage, 4));
  }

  @Test
  void replicasWithCachedImagesSpreadOnlyIfMachinesFailOften() {
    for (int i = 0; i < 4; i++) {
      fleet.machine(i % 2 == 0 ? "z1" : "z2", "img-j-1");
    }
    fleet.service("j-1", 4, 60);
    assertThat(placed(failures(30))).hasSize(4);
    assertThat(placed(failures(0.001))).hasSize(1);
  }

  @Test
  void replicasFetchTheirImageToSpreadOnlyIfFailuresCostMore() {
    fleet.machine("z1", "img-j-1");
    fleet.machine("z1");
    fleet.service("j-1", 2, 120);
    assertThat(placed(failures(1))).hasSize(1);
    fleet.jobs.clear();
    fleet.service("j-1", 2, 4);
    assertThat(placed(failures(60))).hasSize(2);
  }

  @Test
  void replicasSpreadWithinAZoneAndAcrossZonesOfUnequalSize() {
    for (int i = 0; i < 3; i++) {
      fleet.machine("z1", "img-j-1");
    }
    fleet.service("j-1", 3, 20);
    assertThat(placed(failures(30))).hasSize(3);
    fleet.machine("z2", "img-j-1");
    FailureRisk zones = new FailureRisk(0, 0.01, 5 * LEASE_S, LEASE_S);
    assertThat(placed(zones))
        .anySatisfy((machine, replicas) -> assertThat(machine.zone).isEqualTo("z2"));
  }

  /**
   * Compares the lost replica time and the gigabytes fetched of three policies: image locality
   * only, spreading only, and the objective that weighs both by the actual failure rates.
   */
  @Test
  void theObjectiveLosesNoMoreThanLocalityOrSpreadingAlone() {
    Map<String, FailureRisk> policies = new LinkedHashMap<>();
    policies.put("weights", FailureRisk.NONE);
    policies.put("spread", new FailureRisk(1, 1, 1e6, LEASE_S));
    policies.put("objective", new FailureRisk(2 / 3600.0, 1 / 36_000.0, 5 * LEASE_S, LEASE_S));
    Map<String, Double> lost = new HashMap<>();
    policies.forEach(
        (name, risk) -> {
          ServiceFailureSimulation.Result mean = new ServiceFailureSimulation.Result(0, 0, 0);
          for (long seed = 1; seed <= SEEDS; seed++) {
            mean = mean.plus(ServiceFailureSimulation.run(seed, risk), 1.0 / SEEDS);
          }
          System.out.printf(
              "%s: %.0f replica seconds lost, %.0f by the share down at once, %.0f GB fetched%n",
              name, mean.lostS(), mean.weightedS(), mean.fetchedGb());
          lost.put(name, mean.weightedS());
        });
    assertThat(lost.get("objective"))
        .isLessThanOrEqualTo(1.03 * Math.min(lost.get("weights"), lost.get("spread")));
  }
}
