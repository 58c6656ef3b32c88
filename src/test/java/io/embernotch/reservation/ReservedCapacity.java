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
 * Checks that nobody else's task begins on what the store says is held; every task takes one GPU of
 * eight.
 */
final class ReservedCapacity {
  private static final int GPUS = 8;

  private final SimulatedCluster cluster;
  private final Map<String, Set<String>> before = new HashMap<>();
  final List<String> wrong = new ArrayList<>();

  ReservedCapacity(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** GPUs that are held on a machine. */
  double held(String machine) {
    double out = 0;
    for (String key : cluster.store.keys("shared/held/")) {
      out += cluster.store.value(key).path("on").path(machine).path(1).asDouble() / 1000;
    }
    return out;
  }

  double heldInAll() {
    return cluster.workers.keySet().stream().mapToDouble(this::held).sum();
  }

  private boolean live(String task) {
    ObjectNode job = cluster.store.value("job/" + task.substring(0, task.indexOf('/')));
    JsonNode rank = job == null ? null : job.path("job").path("rank");
    return rank != null && rank.asText().equals("production");
  }

  /** Lets time pass, looking all the while. */
  void pass(double seconds) {
    for (double t = 0; t < seconds; t += 0.05) {
      Map<String, Double> heldBefore = new HashMap<>();
      cluster.workers.keySet().forEach(n -> heldBefore.put(n, held(n)));
      cluster.advance(0.05);
      for (FakeWorker w : cluster.workers.values()) {
        Set<String> others = new TreeSet<>();
        w.runningTasks().stream().filter(x -> !live(x)).forEach(others::add);
        Set<String> new_ = new TreeSet<>(others);
        new_.removeAll(before.getOrDefault(w.name, Set.of()));
        // What was committed just before a hold was written may begin just after it, so both must
        // say so.
        double held = Math.min(heldBefore.getOrDefault(w.name, 0.0), held(w.name));
        if (!new_.isEmpty() && others.size() + held > GPUS + 1e-6) {
          wrong.add(
              new_
                  + " began on "
                  + w.name
                  + " where "
                  + held
                  + " GPUs are held beside "
                  + others.size()
                  + " of others");
        }
        before.put(w.name, others);
      }
    }
  }
}
