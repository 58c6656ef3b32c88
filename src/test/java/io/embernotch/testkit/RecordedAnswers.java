package io.embernotch.testkit;

import static io.embernotch.testkit.TestJobs.job;

import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What one user was answered about each job, and whether a later answer contradicts it. */
public final class RecordedAnswers {
  private static final int ANSWER_TIMEOUT_S = 75;
  private static final int POLL_INTERVAL_S = 5;

  private final SimulatedCluster cluster;
  private final Map<String, String> finalPhases = new TreeMap<>();

  /** Jobs whose submission was accepted; tests add those that they submit by themselves. */
  public final List<String> accepted = new ArrayList<>();

  /** What contradicts earlier answers, or is missing. */
  public final List<String> violations = new ArrayList<>();

  /** Records the answers of a cluster. */
  public RecordedAnswers(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Submits a job, unless the node is down. */
  public void submit(int node, String ref, String shape, int tasks) {
    if (!cluster.nodes.get(node).down
        && cluster.submit(node, job(ref, shape, tasks)).status() / 100 == 2) {
      accepted.add(ref);
    }
  }

  /** Asks for a job's state, unless the node is down. */
  public void poll(int node, String ref) {
    if (!cluster.nodes.get(node).down) {
      record(ref, cluster.poll(node, ref));
    }
  }

  /** Asks for a cancellation, unless the node is down. */
  public void cancel(int node, String ref) {
    if (!cluster.nodes.get(node).down) {
      HttpResponse response = cluster.cancel(node, ref);
      if (response.status() == 200) {
        record(ref, response);
      }
    }
  }

  /** The phase in a response, or {@code status N} if it has none. */
  static String phaseOf(HttpResponse response) {
    return response.status() == 200
        ? Json.parseObject(response.body()).get("phase").asText()
        : "status " + response.status();
  }

  private void record(String ref, HttpResponse response) {
    String phase = phaseOf(response);
    String finalPhase = finalPhases.get(ref);
    if (phase.equals("status 404")) {
      violations.add(ref + " is forgotten");
    } else if (finalPhase != null && response.status() == 200 && !phase.equals(finalPhase)) {
      violations.add(ref + " was " + finalPhase + " and is " + phase);
    } else if (phase.equals("done") || phase.equals("cancelled")) {
      finalPhases.put(ref, phase);
    }
  }

  /**
   * The addition to the rules: once all faults are over, each job that was accepted is answered for
   * within 75 s of polls, five seconds apart, at any controller; what has not ended runs or has its
   * place in the queue.
   */
  public void awaitAllAnswered() {
    Set<String> unanswered = new TreeSet<>(accepted);
    for (int s = 0; s < ANSWER_TIMEOUT_S && !unanswered.isEmpty(); s += POLL_INTERVAL_S) {
      int round = s / POLL_INTERVAL_S;
      unanswered.removeIf(
          ref -> {
            HttpResponse response = cluster.poll(Math.floorMod(round + ref.hashCode() % 3, 3), ref);
            record(ref, response);
            return response.status() == 200;
          });
      cluster.advance(unanswered.isEmpty() ? 0 : POLL_INTERVAL_S);
    }
    unanswered.forEach(ref -> violations.add(ref + " has no answer for 75 s"));
  }

  private void checkEndedJobsRunNowhere() {
    finalPhases.forEach(
        (ref, finalPhase) -> {
          if (!cluster.runningTasks(ref).isEmpty()) {
            violations.add(ref + " is " + finalPhase + " and on a machine");
          }
        });
  }

  /**
   * Once all has settled: repeats are known, what ended is gone, there is a leader, and no
   * invariant was violated.
   */
  public void verifyFinalState() {
    awaitAllAnswered();
    for (int i = 0; i < accepted.size(); i++) {
      String ref = accepted.get(i);
      poll(i % 3, ref);
      HttpResponse repeated = cluster.submit((i + 1) % 3, job(ref, "array", 1));
      if (repeated.status() != 200) {
        violations.add(ref + " submitted again gets " + repeated.status());
      }
    }
    checkEndedJobsRunNowhere();
    if (cluster.leader() == null) {
      violations.add("there is no leader");
    }
    violations.addAll(cluster.violations());
  }
}
