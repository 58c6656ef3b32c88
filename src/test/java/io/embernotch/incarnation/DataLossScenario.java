package io.embernotch.incarnation;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Three controllers that answer users about some jobs, in an order that a test determines. After a
 * data loss all earlier answers must remain valid: no accepted job is unknown, no reported end is
 * withdrawn, and no task runs twice or after its job's end.
 */
final class DataLossScenario {
  private static final double STEP_S = 0.5;

  /** Seconds within which the tasks of new jobs get machines and start. */
  private static final double START_S = 15;

  /** Seconds after the last fault within which every controller answers for every job. */
  private static final double SETTLED_S = 75;

  final SimulatedCluster cluster = new SimulatedCluster(3, 10);

  /** The leader at the beginning of the scenario. */
  final ControllerNode leader = cluster.awaitLeader(4);

  private final TreeSet<String> accepted = new TreeSet<>();
  private final Map<String, String> reportedEnds = new TreeMap<>();

  /** The controller that is neither of these two. */
  ControllerNode third(ControllerNode first, ControllerNode second) {
    return cluster.nodes.get(3 - first.index - second.index);
  }

  /** Submits a job and checks that it is accepted. */
  void accept(ControllerNode at, String ref, String shape, int tasks) {
    accept(at, ref, job(ref, shape, tasks));
  }

  /** Submits this job and checks that it is accepted. */
  void accept(ControllerNode at, String ref, String json) {
    assertThat(cluster.submit(at.index, json).status()).isEqualTo(201);
    accepted.add(ref);
  }

  /** Waits until tasks of all jobs have started. */
  void awaitTasksStarted() {
    cluster.advance(START_S);
    accepted.forEach(ref -> assertThat(cluster.runningTasks(ref)).as(ref).isNotEmpty());
  }

  /** Cancels a job and checks that the cancellation is confirmed. */
  void cancel(ControllerNode at, String ref) {
    HttpResponse response = cluster.cancel(at.index, ref);
    assertThat(response.status()).as("cancellation of " + ref).isEqualTo(200);
    reportedEnds.put(ref, "cancelled");
  }

  /** Completes all tasks of a job and checks that it is reported as done. */
  void complete(ControllerNode at, String ref) {
    cluster.completeTasks(ref);
    cluster.advance(3);
    expectPhase(at, ref, "done");
    recordDone(ref);
  }

  /** Records that a user was told that a job is done. */
  void recordDone(String ref) {
    reportedEnds.put(ref, "done");
  }

  /** Checks that a job is reported as cancelled, because a job that it depends on is. */
  void expectCancelled(ControllerNode at, String ref) {
    expectPhase(at, ref, "cancelled");
    reportedEnds.put(ref, "cancelled");
  }

  /** Polls a job and checks the reported phase. */
  void expectPhase(ControllerNode at, String ref, String phase) {
    assertThat(cluster.phase(at.index, ref)).as(ref + " at " + at.index).isEqualTo(phase);
  }

  /** Takes a snapshot of the store, then writes once more, so that a rollback to it loses data. */
  Snapshot snapshotBeforeAnotherWrite() {
    Snapshot contents = cluster.store.snapshot();
    cluster.store.put("mark", "{}");
    return contents;
  }

  /** Isolates a controller from the store and from the other controllers. */
  void isolate(ControllerNode node) {
    node.storeUnavailable = true;
    node.peersUnreachable = true;
  }

  /** Ends the isolation of a controller. */
  void reconnect(ControllerNode node) {
    node.storeUnavailable = false;
    node.peersUnreachable = false;
  }

  /** Restarts a process and waits until it has caught up. */
  void restart(ControllerNode node) {
    node.kill();
    cluster.advance(1);
    node.start();
    cluster.advance(8);
  }

  /** Advances time while users poll every running controller for every job. */
  void advanceWithPolls(double seconds) {
    for (double leftS = seconds; leftS > 0; leftS -= STEP_S) {
      for (ControllerNode node : cluster.nodes) {
        if (!node.down) {
          accepted.forEach(ref -> cluster.pollAsync(node.index, ref));
        }
      }
      cluster.advance(STEP_S);
    }
  }

  /** Starts the controllers that are down, waits, and checks that all earlier answers are valid. */
  void verifyAllAnswersValid() {
    advanceWithPolls(30);
    cluster.nodes.stream().filter(node -> node.down).forEach(ControllerNode::start);
    advanceWithPolls(SETTLED_S);
    List<String> findings = new ArrayList<>();
    for (String ref : accepted) {
      for (ControllerNode node : cluster.nodes) {
        checkAnswer(node, ref, findings);
      }
      if (reportedEnds.containsKey(ref) && !cluster.runningTasks(ref).isEmpty()) {
        findings.add(ref + " was reported as " + reportedEnds.get(ref) + " and is on a machine");
      }
    }
    findings.addAll(cluster.violations());
    assertThat(findings).isEmpty();
  }

  private void checkAnswer(ControllerNode node, String ref, List<String> findings) {
    String phase = cluster.phase(node.index, ref);
    String end = reportedEnds.get(ref);
    if (phase.startsWith("status") || (end != null && !phase.equals(end))) {
      findings.add(
          "c" + node.index + " answers " + phase + " of " + ref + (end == null ? "" : ", " + end));
    }
    int repeated = cluster.submit(node.index, job(ref, "array", 1)).status();
    if (repeated != 200) {
      findings.add("c" + node.index + " answers a repeat of " + ref + " with " + repeated);
    }
  }
}
