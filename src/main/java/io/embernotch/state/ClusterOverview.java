package io.embernotch.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.Map;
import java.util.TreeMap;

/** Fleet and queue for operators. */
public final class ClusterOverview {
  private ClusterOverview() {}

  public static ObjectNode of(ClusterState state, int waiting) {
    ObjectNode o = Json.object();
    Map<String, int[]> classes = new TreeMap<>();
    for (Job job : state.jobs.values()) {
      int[] c = classes.computeIfAbsent(job.spec.jobClass(), k -> new int[4]);
      c[0]++;
      c[1] += job.pendingCount();
      c[2] += job.runningCount();
      c[3] += job.openAttempts.size();
    }
    ObjectNode queue = o.putObject("queue");
    classes.forEach(
        (name, c) ->
            queue
                .putObject(name)
                .put("jobs", c[0])
                .put("pending", c[1])
                .put("running", c[2])
                .put("placed", c[3]));
    ObjectNode machines = o.putObject("machines");
    for (Machine machine : state.machines.values()) {
      ObjectNode n = machines.putObject(machine.name);
      n.put("type", machine.type == null ? null : machine.type.name())
          .put("zone", machine.zone)
          .put("spot", machine.spot);
      n.put(
          "state",
          machine.deleting
              ? "returning"
              : machine.failed
                  ? "failed"
                  : !machine.up() ? "booting" : machine.cordoned ? "cordoned" : "up");
      n.put("tasks", machine.openAttempts.size());
    }
    o.put("waiting_for_others", waiting);
    o.put("ended", state.endedJobs.size());
    return o;
  }
}
