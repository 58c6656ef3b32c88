package io.embernotch.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.scheduling.Deadlines.Entry;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.TestJobs;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Who is in time where not all can be. */
class DeadlinesTest {
  private static final MachineType G8 =
      new MachineType("g8", 48, 8, 288, 100, 1, 12, 4, 60, List.of("z1", "z2"));

  /** No choice of others serves more of them: all subsets are tried. */
  @Property(tries = 300)
  void noOtherChoiceServesMore(
      @ForAll @Size(max = 9) List<@IntRange(min = 1, max = 400) Integer> numbers) {
    List<Entry> items = new ArrayList<>();
    for (int i = 0; i < numbers.size(); i++) {
      items.add(new Entry("j-" + i, 1 + numbers.get(i) % 20, numbers.get(i) / 6.0));
    }
    int most = 0;
    for (int set = 0; set < 1 << items.size(); set++) {
      int chosen = set;
      List<Entry> in =
          items.stream()
              .filter(x -> (chosen >> items.indexOf(x) & 1) == 1)
              .sorted((a, b) -> Double.compare(a.dueS(), b.dueS()))
              .toList();
      double at = 0;
      boolean fits = true;
      for (Entry x : in) {
        at += x.processingS();
        fits &= at <= x.dueS();
      }
      most = Math.max(most, fits ? in.size() : 0);
    }
    assertThat(items.size() - Deadlines.missed(items).size()).isEqualTo(most);
  }

  private static final class Day {
    final Scheduler planner =
        new Scheduler(
            SettingsReader.parse(
                SimulatedCluster.settingsToml(0)
                    .replace("gpus_max = 64.0", "gpus_max = 0.0")
                    .replace("gpus = 8.0\ngpus_max = 0.0", "gpus = 0.0\ngpus_max = 0.0")),
            OperatorSettings.DEFAULTS);
    final List<Job> jobs = new ArrayList<>();
    final List<Machine> machines = new ArrayList<>();
    final Map<Attempt, Double> ends = new HashMap<>();
    final Map<Job, Double> doneAt = new HashMap<>();
    final Map<Job, Double> dueAt = new HashMap<>();
    double now = 1000;
  }

  /**
   * Share of the members served in time, and the least served share of a class, of a morning at
   * this load.
   */
  private static double[] morning(double load, long seed, BiConsumer<Job, Double> order) {
    SplittableRandom random = new SplittableRandom(seed);
    Day d = new Day();
    for (int i = 0; i < 12; i++) {
      Machine machine = new Machine("n-" + i);
      machine.type = G8;
      machine.zone = "z1";
      machine.lastHeartbeatAt = 1e9;
      machine.confirmedAliveAt = 1;
      d.machines.add(machine);
    }
    double gpus = 12 * 8;
    int next = 0;
    double owed = 0;
    for (; d.now < 1000 + 900; d.now += 1) {
      for (Map.Entry<Attempt, Double> e : Map.copyOf(d.ends).entrySet()) {
        if (e.getValue() <= d.now) {
          Attempt attempt = e.getKey();
          d.ends.remove(attempt);
          attempt.job.done.set(attempt.task);
          attempt.job.openAttempts.remove(attempt.task);
          Machine machine = d.machines.get(Integer.parseInt(attempt.machine.substring(2)));
          machine.openAttempts.remove(Machine.taskKey(attempt.job.spec.ref(), attempt.task));
          machine.attemptsChanged();
          if (attempt.job.remaining() == 0) {
            d.doneAt.put(attempt.job, d.now);
          }
        }
      }
      d.jobs.removeIf(job -> job.remaining() == 0);
      owed += d.now < 1600 ? load * gpus : 0;
      while (owed > 0) {
        int tasks = 1 + random.nextInt(16);
        int run = 20 + random.nextInt(40);
        // Owners' estimates are wrong by up to half.
        double estimate = run * (0.5 + random.nextDouble());
        String json =
            TestJobs.job("j-" + next++, "array", tasks)
                .replace("\"expect_s\":30.0", "\"expect_s\":" + estimate)
                .replace("red", "blue")
                .replace(
                    "\"jobclass\":\"c\"",
                    "\"jobclass\":\"" + (next % 3 == 0 ? "rest" : "wire") + "\"");
        Job job =
            new Job(JobCodec.read(Json.parseObject(json.getBytes())), Math.round(d.now * 1000));
        double due = d.now + run * 1.5 + random.nextInt(300);
        if (job.spec.jobClass().equals("wire")) {
          d.dueAt.put(job, due);
          order.accept(job, due);
          job.remainingRunMs = Math.round(1500 * estimate);
        } else {
          d.dueAt.put(job, Double.MAX_VALUE);
        }
        d.jobs.add(job);
        owed -= tasks * (double) run;
      }
      SchedulingPlan plan =
          d.planner.plan(
              new SchedulingInput(
                  d.now,
                  Math.round(d.now * 1000),
                  d.jobs,
                  d.machines,
                  Map.of("g8", G8),
                  (t, z, s) -> true,
                  List.of(),
                  List.of(),
                  ReservationView.NONE,
                  FailureRisk.NONE));
      for (SchedulingPlan.Start s : plan.starts()) {
        for (SchedulingPlan.Placement p : s.placements()) {
          Attempt attempt = new Attempt(s.job(), p.task(), 1, p.machine().name, "z1", 0);
          attempt.launchState = Attempt.LaunchState.CONFIRMED;
          s.job().openAttempts.put(p.task(), attempt);
          p.machine().openAttempts.put(Machine.taskKey(s.job().spec.ref(), p.task()), attempt);
          p.machine().attemptsChanged();
          d.ends.put(attempt, d.now + 20 + (s.job().spec.ref().hashCode() & 31) + 8);
        }
      }
    }
    int wire = 0;
    int inTime = 0;
    int rest = 0;
    int restDone = 0;
    for (Map.Entry<Job, Double> e : d.dueAt.entrySet()) {
      if (e.getValue() == Double.MAX_VALUE) {
        rest++;
        restDone += d.doneAt.containsKey(e.getKey()) ? 1 : 0;
      } else {
        wire++;
        inTime += d.doneAt.getOrDefault(e.getKey(), 1e9) <= e.getValue() ? 1 : 0;
      }
    }
    return new double[] {inTime / (double) wire, restDone / (double) rest};
  }

  private static double mean(double load, BiConsumer<Job, Double> order, int which) {
    double sum = 0;
    for (long seed = 1; seed <= 3; seed++) {
      sum += morning(load, seed, order)[which] / 3;
    }
    return sum;
  }

  /**
   * Members served in time by order of arrival, of what jobs ask for themselves, and of the
   * calendar.
   */
  @Test
  void theCalendarServesMoreMembersInTimeThanArrivalOrDeadlinesAlone() {
    BiConsumer<Job, Double> arrival = (job, due) -> {};
    BiConsumer<Job, Double> own =
        (job, due) -> job.latestStartMs = Math.round(due * 1000 - job.spec.expectS() * 1000);
    BiConsumer<Job, Double> calendar = (job, due) -> job.releaseDeadlineMs = Math.round(due * 1000);
    for (double load : new double[] {0.7, 1.0, 1.5}) {
      double byArrival = mean(load, arrival, 0);
      double byOwn = mean(load, own, 0);
      double byCalendar = mean(load, calendar, 0);
      System.out.printf(
          "load %.1f: arrival %.3f, due %.3f, calendar %.3f; rest %.3f %.3f %.3f%n",
          load,
          byArrival,
          byOwn,
          byCalendar,
          mean(load, arrival, 1),
          mean(load, own, 1),
          mean(load, calendar, 1));
      assertThat(byCalendar).isGreaterThanOrEqualTo(byArrival - 0.005);
      assertThat(mean(load, calendar, 1)).isGreaterThan(0.5);
    }
    assertThat(mean(1.5, calendar, 0)).isGreaterThan(mean(1.5, own, 0));
  }
}
