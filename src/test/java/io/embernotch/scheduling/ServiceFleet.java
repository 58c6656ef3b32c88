package io.embernotch.scheduling;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.SimulatedCluster;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Machines with large caches, and live services with an image of their own each. */
final class ServiceFleet {
  static final MachineType G8 =
      new MachineType("g8", 48, 8, 288, 200, 1, 12, 4, 60, List.of("z1", "z2"));

  private final Scheduler scheduler =
      new Scheduler(
          SettingsReader.parse(
              SimulatedCluster.settingsToml(0).replace("gpus_max = 64.0", "gpus_max = 4000.0")),
          OperatorSettings.DEFAULTS);
  final List<Job> jobs = new ArrayList<>();
  final List<Machine> machines = new ArrayList<>();
  double now = 1000;
  private int nextMachine;

  Machine machine(String zone, String... images) {
    Machine machine = new Machine(String.format("n-%03d", nextMachine++));
    machine.type = G8;
    machine.zone = zone;
    machine.lastHeartbeatAt = 1e9;
    machine.confirmedAliveAt = 1;
    machine.images.addAll(List.of(images));
    machines.add(machine);
    return machine;
  }

  Job service(String ref, int replicas, double imageGb) {
    String json =
        SchedulerFixture.liveService(ref, replicas)
            .replace("\"owner\":\"red\"", "\"owner\":\"blue\"")
            .replace("\"bundle\":\"img\"", "\"bundle\":\"img-" + ref + "\"")
            .replace("\"size_gb\":1.0", "\"size_gb\":" + imageGb);
    Job job =
        new Job(
            JobCodec.read(Json.parseObject(json.getBytes(StandardCharsets.UTF_8))), jobs.size());
    jobs.add(job);
    return job;
  }

  SchedulingPlan plan(FailureRisk risk) {
    return scheduler.plan(
        SchedulerFixture.input(
            now,
            Math.round(now * 1000),
            jobs,
            machines,
            G8,
            SchedulerFixture::noneAvailable,
            risk));
  }
}
