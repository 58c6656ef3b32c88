package io.embernotch.scheduling;

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
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/** Simulates a morning of jobs with and without due times on a fixed fleet of twelve machines. */
final class ReleaseDeadlineSimulation {
  /**
   * The outcome of a simulation.
   *
   * @param inTime share of the jobs with a due time that met it
   * @param othersDone share of the other jobs that were done
   */
  record Result(double inTime, double othersDone) {}

  private static final MachineType G8 = SchedulerFixture.G8;
  private static final int MACHINES = 12;
  private static final double BEGIN_S = 1000;
  private static final double LAST_SUBMISSION_S = BEGIN_S + 600;
  private static final double END_S = BEGIN_S + 900;
  private static final double NEVER = 1e9;

  private final Scheduler scheduler =
      new Scheduler(
          SettingsReader.parse(
              SimulatedCluster.settingsToml(0)
                  .replace("gpus_max = 64.0", "gpus_max = 0.0")
                  .replace("gpus = 8.0\ngpus_max = 0.0", "gpus = 0.0\ngpus_max = 0.0")),
          OperatorSettings.DEFAULTS);
  private final List<Job> jobs = new ArrayList<>();
  private final List<Machine> machines = new ArrayList<>();
  private final Map<Attempt, Double> ends = new HashMap<>();
  private final Map<Job, Double> doneAt = new HashMap<>();
  private final Map<Job, Double> dueAt = new HashMap<>();
  private final SplittableRandom random;
  private final BiConsumer<Job, Double> setDeadline;
  private double now = BEGIN_S;
  private int nextJob;

  /** GPU seconds of work that must still be submitted to reach the load. */
  private double unsubmittedGpuS;

  private ReleaseDeadlineSimulation(long seed, BiConsumer<Job, Double> setDeadline) {
    this.random = new SplittableRandom(seed);
    this.setDeadline = setDeadline;
    for (int i = 0; i < MACHINES; i++) {
      Machine machine = new Machine("n-" + i);
      machine.type = G8;
      machine.zone = "z1";
      machine.lastHeartbeatAt = NEVER;
      machine.confirmedAliveAt = 1;
      machines.add(machine);
    }
  }

  /**
   * Simulates a simulation.
   *
   * @param load work that is submitted, as a share of what the machines can do
   * @param setDeadline sets a deadline on a job, given its due time in seconds
   */
  static Result run(double load, long seed, BiConsumer<Job, Double> setDeadline) {
    ReleaseDeadlineSimulation simulation = new ReleaseDeadlineSimulation(seed, setDeadline);
    for (; simulation.now < END_S; simulation.now += 1) {
      simulation.endAttempts();
      simulation.submitJobs(load);
      simulation.startTasks();
    }
    return simulation.result();
  }

  private void endAttempts() {
    for (Map.Entry<Attempt, Double> end : Map.copyOf(ends).entrySet()) {
      if (end.getValue() <= now) {
        endAttempt(end.getKey());
      }
    }
    jobs.removeIf(job -> job.remaining() == 0);
  }

  private void endAttempt(Attempt attempt) {
    ends.remove(attempt);
    attempt.job.done.set(attempt.task);
    attempt.job.openAttempts.remove(attempt.task);
    Machine machine = machines.get(Integer.parseInt(attempt.machine.substring(2)));
    machine.openAttempts.remove(Machine.taskKey(attempt.job.spec.ref(), attempt.task));
    machine.attemptsChanged();
    if (attempt.job.remaining() == 0) {
      doneAt.put(attempt.job, now);
    }
  }

  private void submitJobs(double load) {
    unsubmittedGpuS += now < LAST_SUBMISSION_S ? load * MACHINES * G8.gpus() : 0;
    while (unsubmittedGpuS > 0) {
      int tasks = 1 + random.nextInt(16);
      int runS = 20 + random.nextInt(40);
      submitJob(tasks, runS);
      unsubmittedGpuS -= tasks * (double) runS;
    }
  }

  private void submitJob(int tasks, int runS) {
    // Owners' estimates are wrong by up to half.
    double estimateS = runS * (0.5 + random.nextDouble());
    String json =
        TestJobs.job("j-" + nextJob++, "array", tasks)
            .replace("\"expect_s\":30.0", "\"expect_s\":" + estimateS)
            .replace("red", "blue")
            .replace(
                "\"jobclass\":\"c\"",
                "\"jobclass\":\"" + (nextJob % 3 == 0 ? "rest" : "wire") + "\"");
    Job job =
        new Job(
            JobCodec.read(Json.parseObject(json.getBytes(StandardCharsets.UTF_8))),
            Math.round(now * 1000));
    double due = now + runS * 1.5 + random.nextInt(300);
    if (job.spec.jobClass().equals("wire")) {
      dueAt.put(job, due);
      setDeadline.accept(job, due);
      job.remainingRunMs = Math.round(1500 * estimateS);
    } else {
      dueAt.put(job, Double.MAX_VALUE);
    }
    jobs.add(job);
  }

  private void startTasks() {
    SchedulingPlan plan =
        scheduler.plan(
            SchedulerFixture.input(
                now,
                Math.round(now * 1000),
                jobs,
                machines,
                G8,
                SchedulerFixture::noneAvailable,
                FailureRisk.NONE));
    for (SchedulingPlan.Start start : plan.starts()) {
      for (SchedulingPlan.Placement placement : start.placements()) {
        Attempt attempt = PlanExecution.start(start, placement);
        ends.put(attempt, now + 20 + (start.job().spec.ref().hashCode() & 31) + 8);
      }
    }
  }

  private Result result() {
    int withDueTime = 0;
    int inTime = 0;
    int others = 0;
    int othersDone = 0;
    for (Map.Entry<Job, Double> due : dueAt.entrySet()) {
      if (due.getValue() == Double.MAX_VALUE) {
        others++;
        othersDone += doneAt.containsKey(due.getKey()) ? 1 : 0;
      } else {
        withDueTime++;
        inTime += doneAt.getOrDefault(due.getKey(), NEVER) <= due.getValue() ? 1 : 0;
      }
    }
    return new Result(inTime / (double) withDueTime, othersDone / (double) others);
  }
}
