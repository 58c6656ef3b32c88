package io.embernotch.state;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.Map;
import java.util.TreeMap;

/** The queue and the machines as a JSON document for operators. */
public final class ClusterOverview {
  /** Jobs and tasks of one job class in the queue. */
  private static final class JobClassCounts {
    int jobs;
    int pendingTasks;
    int runningTasks;
    int openAttempts;

    void add(Job job) {
      jobs++;
      pendingTasks += job.pendingCount();
      runningTasks += job.runningCount();
      openAttempts += job.openAttempts.size();
    }

    void writeTo(ObjectNode node) {
      node.put("jobs", jobs)
          .put("pending", pendingTasks)
          .put("running", runningTasks)
          .put("placed", openAttempts);
    }
  }

  /** Maximum number of keys with unreadable values that the overview lists. */
  private static final int MAX_UNREADABLE_KEYS = 20;

  private ClusterOverview() {}

  /**
   * Returns the current overview; {@code blockedJobs} is the number of jobs that wait for their
   * dependencies.
   */
  public static ObjectNode of(ClusterState state, int blockedJobs) {
    ObjectNode overview = Json.object();
    writeQueue(state, overview.putObject("queue"));
    writeMachines(state, overview.putObject("machines"));
    overview.put("waiting_for_others", blockedJobs);
    overview.put("ended", state.endedJobs.size());
    ArrayNode unreadable = overview.putArray("unreadable");
    state.unreadable.keys().stream().limit(MAX_UNREADABLE_KEYS).forEach(unreadable::add);
    return overview;
  }

  private static void writeQueue(ClusterState state, ObjectNode queue) {
    Map<String, JobClassCounts> countsByClass = new TreeMap<>();
    for (Job job : state.jobs.values()) {
      countsByClass.computeIfAbsent(job.spec.jobClass(), name -> new JobClassCounts()).add(job);
    }
    countsByClass.forEach((name, counts) -> counts.writeTo(queue.putObject(name)));
  }

  private static void writeMachines(ClusterState state, ObjectNode machines) {
    for (Machine machine : state.machines.values()) {
      machines
          .putObject(machine.name)
          .put("type", machine.type == null ? null : machine.type.name())
          .put("zone", machine.zone)
          .put("spot", machine.spot)
          .put("state", stateOf(machine))
          .put("tasks", machine.openAttempts.size());
    }
  }

  private static String stateOf(Machine machine) {
    if (machine.deleting) {
      return "returning";
    }
    if (machine.failed) {
      return "failed";
    }
    if (!machine.up()) {
      return "booting";
    }
    return machine.cordoned ? "cordoned" : "up";
  }
}
