package io.embernotch.scheduling;

import static io.embernotch.testkit.TestJobs.job;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.SimulatedCluster;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A cluster of machines with eight GPUs, and the jobs of a plan. */
final class SchedulerFixture {
  static final MachineType G8 =
      new MachineType("g8", 48, 8, 288, 100, 1, 12, 4, 60, List.of("z1", "z2"));

  /** A team without a guarantee. */
  private static final String GUESTS =
      "[[cluster.teams]]\nname = 'guests'\ngpus = 0.0\ngpus_max = 0.0\n";

  private static final double NOW = 1000;

  final Scheduler scheduler =
      new Scheduler(
          SettingsReader.parse(SimulatedCluster.settingsToml(0) + GUESTS),
          OperatorSettings.DEFAULTS);
  final List<Job> jobs = new ArrayList<>();
  final List<Machine> machines = new ArrayList<>();

  /** Whether the cloud has no machines at all. {@link #spotExhausted}: no spot machines. */
  boolean cloudExhausted;

  boolean spotExhausted;
  long wallMs;

  SchedulingPlan plan() {
    return scheduler.plan(input());
  }

  SchedulingInput input() {
    return input(
        NOW,
        wallMs,
        jobs,
        machines,
        G8,
        (type, zone, spot) -> cloudExhausted || (spot && spotExhausted),
        FailureRisk.NONE);
  }

  /** The input of a plan for machines of one type, without headroom and reservations. */
  static SchedulingInput input(
      double now,
      long wallMs,
      List<Job> jobs,
      List<Machine> machines,
      MachineType type,
      FleetView.Pools pools,
      FailureRisk risk) {
    return new SchedulingInput(
        now,
        wallMs,
        jobs,
        List.of(),
        machines,
        Map.of(type.name(), type),
        pools,
        List.of(),
        List.of(),
        ReservationView.NONE,
        risk);
  }

  /** The pools of a cloud that has no machines at all. */
  static boolean noneAvailable(String type, String zone, boolean spot) {
    return true;
  }

  Job add(String json) {
    Job job =
        new Job(
            JobCodec.read(Json.parseObject(json.getBytes(StandardCharsets.UTF_8))), jobs.size());
    jobs.add(job);
    return job;
  }

  /** Adds a machine that has just become idle. */
  Machine machine(String name, boolean spot) {
    Machine machine = new Machine(name);
    machine.type = G8;
    machine.zone = "z1";
    machine.spot = spot;
    machine.lastHeartbeatAt = 999;
    machine.confirmedAliveAt = 999;
    machine.idleSince = 999;
    machines.add(machine);
    return machine;
  }

  /** Makes a task run on a machine. */
  void run(Job job, int task, Machine machine) {
    Attempt attempt = new Attempt(job, task, 1, machine.name, machine.zone, 0);
    attempt.launchState = Attempt.LaunchState.CONFIRMED;
    attempt.runningAt = 900;
    job.openAttempts.put(task, attempt);
    machine.openAttempts.put(Machine.taskKey(job.spec.ref(), task), attempt);
  }

  /** Makes the first tasks of a job run on a machine. */
  void runFirst(Job job, int tasks, Machine machine) {
    for (int task = 0; task < tasks; task++) {
      run(job, task, machine);
    }
  }

  /** Adds an array of a team without a guarantee that runs on a machine. */
  Job guestArray(String ref, int tasks, Machine machine) {
    Job array = add(guestJob(ref, tasks));
    runFirst(array, tasks, machine);
    return array;
  }

  static String guestJob(String ref, int tasks) {
    return job(ref, "array", tasks).replace("\"owner\":\"red\"", "\"owner\":\"guests\"");
  }

  /** A gang of high priority, with one task that takes a whole machine's GPUs. */
  static String gang(String ref) {
    return job(ref, "group", 1)
        .replace("standard", "high")
        .replace("\"cards\":1.0", "\"cards\":8.0")
        .replace("\"owner\":\"red\"", "\"owner\":\"blue\"");
  }

  /** A production service on ordinary machines. */
  static String liveService(String ref, int replicas) {
    return job(ref, "standing", replicas)
        .replace("standard", "production")
        .replace("\"loaner\":true", "\"loaner\":false");
  }
}
