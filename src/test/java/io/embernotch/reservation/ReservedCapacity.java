package io.embernotch.reservation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checks that no other task starts on capacity that the store says is reserved; every task takes
 * one GPU of eight.
 */
final class ReservedCapacity {
  private static final int GPUS = 8;
  private static final double STEP_S = 0.05;

  private final SimulatedCluster cluster;
  private final Map<String, Set<String>> otherTasksBefore = new HashMap<>();
  final List<String> violations = new ArrayList<>();

  ReservedCapacity(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** GPUs that are reserved on a machine. */
  double reservedGpus(String machine) {
    double gpus = 0;
    for (String key : cluster.store.keys("shared/held/")) {
      gpus += cluster.store.value(key).path("on").path(machine).path(1).asDouble() / 1000;
    }
    return gpus;
  }

  double totalReservedGpus() {
    return cluster.workers.keySet().stream().mapToDouble(this::reservedGpus).sum();
  }

  private boolean isLive(String task) {
    ObjectNode job = cluster.store.value("job/" + task.substring(0, task.indexOf('/')));
    JsonNode rank = job == null ? null : job.path("job").path("rank");
    return rank != null && rank.asText().equals("production");
  }

  /** Lets time pass, and checks in every step. */
  void advance(double seconds) {
    for (double passed = 0; passed < seconds; passed += STEP_S) {
      Map<String, Double> reservedBefore = new HashMap<>();
      cluster.workers.keySet().forEach(name -> reservedBefore.put(name, reservedGpus(name)));
      cluster.advance(STEP_S);
      for (FakeWorker worker : cluster.workers.values()) {
        Set<String> others = new TreeSet<>();
        worker.runningTasks().stream().filter(task -> !isLive(task)).forEach(others::add);
        Set<String> started = new TreeSet<>(others);
        started.removeAll(otherTasksBefore.getOrDefault(worker.name, Set.of()));
        // A start that was committed just before a reservation may take place just after it, so the
        // capacity must have been reserved before and after.
        double reserved =
            Math.min(reservedBefore.getOrDefault(worker.name, 0.0), reservedGpus(worker.name));
        if (!started.isEmpty() && others.size() + reserved > GPUS + 1e-6) {
          violations.add(
              started
                  + " started on "
                  + worker.name
                  + " where "
                  + reserved
                  + " GPUs are reserved beside "
                  + others.size()
                  + " of others");
        }
        otherTasksBefore.put(worker.name, others);
      }
    }
  }
}
