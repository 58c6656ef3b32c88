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
    for (Job j : state.jobs.values()) {
      int[] c = classes.computeIfAbsent(j.spec.jobClass(), k -> new int[4]);
      c[0]++;
      c[1] += j.pendingCount();
      c[2] += j.runningCount();
      c[3] += j.openAttempts.size();
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
    for (Machine m : state.machines.values()) {
      ObjectNode n = machines.putObject(m.name);
      n.put("type", m.type == null ? null : m.type.name()).put("zone", m.zone).put("spot", m.spot);
      n.put(
          "state",
          m.deleting
              ? "returning"
              : m.failed ? "failed" : !m.up() ? "booting" : m.cordoned ? "cordoned" : "up");
      n.put("tasks", m.openAttempts.size());
    }
    o.put("waiting_for_others", waiting);
    o.put("ended", state.endedJobs.size());
    return o;
  }
}
