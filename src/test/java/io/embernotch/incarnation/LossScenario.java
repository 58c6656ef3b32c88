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
 * Three controllers whose users were told of some jobs, in an order that a test forces. After a
 * loss of data everything that was told before must hold: what was accepted is not denied, an end
 * is not taken back, and nothing runs twice or after its end.
 */
final class LossScenario {
  private static final double STEP_S = 0.5;

  /** Seconds in which the tasks of new jobs have got machines and started. */
  private static final double START_S = 15;

  /** Seconds after the last fault by which every job is answered for, whatever was lost. */
  private static final double SETTLED_S = 75;

  final SimulatedCluster cluster = new SimulatedCluster(3, 10);

  /** Whoever led when the scenario began. */
  final ControllerNode leader = cluster.awaitLeader(4);

  private final TreeSet<String> accepted = new TreeSet<>();
  private final Map<String, String> toldEnds = new TreeMap<>();

  /** The controller that is neither of the two. */
  ControllerNode third(ControllerNode first, ControllerNode second) {
    return cluster.nodes.get(3 - first.index - second.index);
  }

  /** A user submits a job, and is told that it was accepted. */
  void accept(ControllerNode at, String ref, String shape, int tasks) {
    accept(at, ref, job(ref, shape, tasks));
  }

  /** A user submits this job, and is told that it was accepted. */
  void accept(ControllerNode at, String ref, String json) {
    assertThat(cluster.submit(at.index, json).status()).isEqualTo(201);
    accepted.add(ref);
  }

  /** Lets the tasks of all jobs start. */
  void letTasksStart() {
    cluster.advance(START_S);
    accepted.forEach(ref -> assertThat(cluster.runningTasks(ref)).as(ref).isNotEmpty());
  }

  /** A user cancels a job, and is told that it is cancelled. */
  void cancel(ControllerNode at, String ref) {
    HttpResponse response = cluster.cancel(at.index, ref);
    assertThat(response.status()).as("cancellation of " + ref).isEqualTo(200);
    toldEnds.put(ref, "cancelled");
  }

  /** All tasks of a job complete, and a user is told so. */
  void complete(ControllerNode at, String ref) {
    cluster.completeTasks(ref);
    cluster.advance(3);
    expectPhase(at, ref, "done");
    completedAsTold(ref);
  }

  /** A user was told that a job is done. */
  void completedAsTold(String ref) {
    toldEnds.put(ref, "done");
  }

  /** A user is told that a job is cancelled, since one that it depends on is. */
  void expectCancelled(ControllerNode at, String ref) {
    expectPhase(at, ref, "cancelled");
    toldEnds.put(ref, "cancelled");
  }

  /** A user asks for a job and is told this. */
  void expectPhase(ControllerNode at, String ref, String phase) {
    assertThat(cluster.phase(at.index, ref)).as(ref + " at " + at.index).isEqualTo(phase);
  }

  /** The store's contents as they are now; one change more is made than they hold. */
  Snapshot rememberContents() {
    Snapshot contents = cluster.store.snapshot();
    cluster.store.put("mark", "{}");
    return contents;
  }

  /** A controller reaches neither the store nor the other controllers. */
  void cutOff(ControllerNode node) {
    node.storeUnavailable = true;
    node.peersUnreachable = true;
  }

  /** A controller reaches everything again. */
  void reconnect(ControllerNode node) {
    node.storeUnavailable = false;
    node.peersUnreachable = false;
  }

  /** Ends a process and starts it again, with time for it to catch up. */
  void restart(ControllerNode node) {
    node.kill();
    cluster.advance(1);
    node.start();
    cluster.advance(8);
  }

  /** Lets time pass while users ask every controller that is up for every job. */
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

  /**
   * Faults are over: whoever is down is started, time passes, and everything that was told holds.
   */
  void verifyAllToldHolds() {
    advanceWithPolls(30);
    cluster.nodes.stream().filter(node -> node.down).forEach(ControllerNode::start);
    advanceWithPolls(SETTLED_S);
    List<String> findings = new ArrayList<>();
    for (String ref : accepted) {
      for (ControllerNode node : cluster.nodes) {
        checkAnswer(node, ref, findings);
      }
      if (toldEnds.containsKey(ref) && !cluster.runningTasks(ref).isEmpty()) {
        findings.add(ref + " was told to be " + toldEnds.get(ref) + " and is on a machine");
      }
    }
    findings.addAll(cluster.violations());
    assertThat(findings).isEmpty();
  }

  private void checkAnswer(ControllerNode node, String ref, List<String> findings) {
    String phase = cluster.phase(node.index, ref);
    String end = toldEnds.get(ref);
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
