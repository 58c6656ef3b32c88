package io.embernotch.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.TestJobs;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Where replicas go: where their weights lie, against the wish to spread. */
class TopologySpreadTest {
  private static final MachineType G8 =
      new MachineType("g8", 48, 8, 288, 200, 1, 12, 4, 60, List.of("z1", "z2"));
  private static final double LEASE_S = 30;

  private final Scheduler planner =
      new Scheduler(
          SettingsReader.parse(
              SimulatedCluster.settingsToml(0).replace("gpus_max = 64.0", "gpus_max = 4000.0")),
          OperatorSettings.DEFAULTS);
  private final List<Job> jobs = new ArrayList<>();
  private final List<Machine> machines = new ArrayList<>();
  private double now = 1000;
  private int next;

  private Machine machine(String zone, String... images) {
    Machine machine = new Machine(String.format("n-%03d", next++));
    machine.type = G8;
    machine.zone = zone;
    machine.lastHeartbeatAt = 1e9;
    machine.confirmedAliveAt = 1;
    machine.images.addAll(List.of(images));
    machines.add(machine);
    return machine;
  }

  private Job service(String ref, int replicas, double gb) {
    String json =
        TestJobs.job(ref, "standing", replicas)
            .replace("standard", "production")
            .replace("\"owner\":\"red\"", "\"owner\":\"blue\"")
            .replace("\"loaner\":true", "\"loaner\":false")
            .replace("\"bundle\":\"img\"", "\"bundle\":\"img-" + ref + "\"")
            .replace("\"size_gb\":1.0", "\"size_gb\":" + gb);
    Job job = new Job(JobCodec.read(Json.parseObject(json.getBytes())), jobs.size());
    jobs.add(job);
    return job;
  }

  private SchedulingPlan plan(FailureRisk risk) {
    return planner.plan(
        new SchedulingInput(
            now,
            Math.round(now * 1000),
            jobs,
            machines,
            Map.of("g8", G8),
            (t, z, s) -> true,
            List.of(),
            List.of(),
            ReservationView.NONE,
            risk));
  }

  private Map<Machine, Integer> placed(FailureRisk risk) {
    Map<Machine, Integer> out = new HashMap<>();
    plan(risk)
        .starts()
        .forEach(s -> s.placements().forEach(p -> out.merge(p.machine(), 1, Integer::sum)));
    return out;
  }

  private static FailureRisk often(double perHour) {
    return new FailureRisk(perHour / 3600, perHour / 36_000, 5 * LEASE_S, LEASE_S);
  }

  @Test
  void whereNothingFailsTheWeightsDecide() {
    machine("z1");
    Machine has = machine("z2", "img-j-1");
    service("j-1", 4, 60);
    assertThat(placed(FailureRisk.NONE)).containsExactly(Map.entry(has, 4));
  }

  @Test
  void whereNothingIsToBeFetchedAndMachinesFailOftenReplicasSpread() {
    for (int i = 0; i < 4; i++) {
      machine(i % 2 == 0 ? "z1" : "z2", "img-j-1");
    }
    service("j-1", 4, 60);
    assertThat(placed(often(30))).hasSize(4);
    assertThat(placed(often(0.001))).hasSize(1);
  }

  @Test
  void aFetchIsPaidForSpreadOnlyWhereFailuresCostMore() {
    machine("z1", "img-j-1");
    machine("z1");
    service("j-1", 2, 120);
    assertThat(placed(often(1))).hasSize(1);
    jobs.clear();
    service("j-1", 2, 4);
    assertThat(placed(often(60))).hasSize(2);
  }

  @Test
  void oneZoneAndZonesOfUnequalSizeTakeWhatTheyCan() {
    for (int i = 0; i < 3; i++) {
      machine("z1", "img-j-1");
    }
    service("j-1", 3, 20);
    assertThat(placed(often(30))).hasSize(3);
    machine("z2", "img-j-1");
    FailureRisk zones = new FailureRisk(0, 0.01, 5 * LEASE_S, LEASE_S);
    assertThat(placed(zones)).anySatisfy((machine, n) -> assertThat(machine.zone).isEqualTo("z2"));
  }

  private static final class Day {
    double lost;

    /** The same, each second by the share of the service that is down. */
    double weighted;

    double fetchedGb;
  }

  /**
   * An hour of forty services with weights of 20 to 120 GB on 64 machines; machines fail, and once
   * a fifth of a zone.
   */
  private static Day day(long seed, FailureRisk risk) {
    SplittableRandom random = new SplittableRandom(seed);
    TopologySpreadTest t = new TopologySpreadTest();
    for (int i = 0; i < 64; i++) {
      t.machine(i % 3 == 0 ? "z2" : "z1");
    }
    for (int s = 0; s < 40; s++) {
      t.service("j-" + s, 2 + random.nextInt(7), 20 + random.nextInt(101));
    }
    Day d = new Day();
    Map<Attempt, Double> readyAt = new HashMap<>();
    for (int second = 0; second < 3600; second++, t.now++) {
      Set<Machine> dead = new HashSet<>();
      for (Machine machine : t.machines) {
        if (random.nextInt(3600) < 2
            || (second == 1800 && machine.zone.equals("z1") && random.nextInt(5) == 0)) {
          dead.add(machine);
        }
      }
      for (Machine machine : dead) {
        for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
          attempt.job.openAttempts.remove(attempt.task);
          attempt.job.restartedTasks.set(attempt.task);
          readyAt.remove(attempt);
        }
        t.machines.remove(machine);
        t.machine(machine.zone);
      }
      for (SchedulingPlan.Start s : t.plan(risk).starts()) {
        for (SchedulingPlan.Placement p : s.placements()) {
          Attempt attempt =
              new Attempt(s.job(), p.task(), 1, p.machine().name, p.machine().zone, 0);
          attempt.launchState = Attempt.LaunchState.CONFIRMED;
          s.job().openAttempts.put(p.task(), attempt);
          p.machine().openAttempts.put(Machine.taskKey(s.job().spec.ref(), p.task()), attempt);
          p.machine().attemptsChanged();
          boolean has = p.machine().images.remove(s.job().spec.image());
          p.machine().images.add(s.job().spec.image());
          double gb = s.job().spec.imageGb();
          d.fetchedGb += has ? 0 : gb;
          readyAt.put(attempt, t.now + (has ? 0 : gb));
          double held = p.machine().images.stream().mapToDouble(i -> t.gb(i)).sum();
          while (held > G8.cacheGb()) {
            String oldest = p.machine().images.iterator().next();
            p.machine().images.remove(oldest);
            held -= t.gb(oldest);
          }
        }
      }
      for (Job job : t.jobs) {
        int down = 0;
        for (int k = 0; k < job.spec.tasks(); k++) {
          Attempt attempt = job.openAttempts.get(k);
          down += attempt == null || readyAt.getOrDefault(attempt, 0.0) > t.now ? 1 : 0;
        }
        // Past the first start: what was lost again.
        d.lost += second > 200 ? down : 0;
        d.weighted += second > 200 ? down * (double) down / job.spec.tasks() : 0;
      }
    }
    return d;
  }

  private double gb(String image) {
    return jobs.stream()
        .filter(job -> job.spec.image().equals(image))
        .mapToDouble(job -> job.spec.imageGb())
        .findFirst()
        .orElse(0);
  }

  /**
   * Replica time lost and fetched, by weights alone, spread alone, and both weighed at the rates
   * that there are.
   */
  @Test
  void theObjectiveLosesNoMoreThanEitherAlone() {
    Map<String, FailureRisk> ways = new java.util.LinkedHashMap<>();
    ways.put("weights", FailureRisk.NONE);
    ways.put("spread", new FailureRisk(1, 1, 1e6, LEASE_S));
    ways.put("objective", new FailureRisk(2 / 3600.0, 1 / 36_000.0, 5 * LEASE_S, LEASE_S));
    Map<String, Double> lost = new HashMap<>();
    ways.forEach(
        (name, risk) -> {
          Day sum = new Day();
          for (long seed = 1; seed <= 3; seed++) {
            Day d = day(seed, risk);
            sum.lost += d.lost / 3;
            sum.weighted += d.weighted / 3;
            sum.fetchedGb += d.fetchedGb / 3;
          }
          System.out.printf(
              "%s: %.0f replica seconds lost, %.0f by the share down at once, %.0f GB fetched%n",
              name, sum.lost, sum.weighted, sum.fetchedGb);
          lost.put(name, sum.weighted);
        });
    assertThat(lost.get("objective"))
        .isLessThanOrEqualTo(1.03 * Math.min(lost.get("weights"), lost.get("spread")));
  }
}
