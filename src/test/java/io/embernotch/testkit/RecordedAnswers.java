package io.embernotch.testkit;

import static io.embernotch.testkit.SimulatedCluster.job;

import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What users were told, and whether that was ever taken back. */
public final class RecordedAnswers {
  private final SimulatedCluster cluster;
  private final Map<String, String> finalPhases = new TreeMap<>();
  public final List<String> accepted = new ArrayList<>();
  public final List<String> violations = new ArrayList<>();

  public RecordedAnswers(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  public void submit(int node, String ref, String shape, int tasks) {
    if (!cluster.nodes.get(node).down
        && cluster.submit(node, job(ref, shape, tasks)).status() / 100 == 2) {
      accepted.add(ref);
    }
  }

  public void poll(int node, String ref) {
    if (!cluster.nodes.get(node).down) {
      record(ref, cluster.poll(node, ref));
    }
  }

  private void record(String ref, HttpResponse a) {
    String phase =
        a.status() == 200
            ? Json.parseObject(a.body()).get("phase").asText()
            : "status " + a.status();
    String end = finalPhases.get(ref);
    if (phase.equals("status 404")) {
      violations.add(ref + " is forgotten");
    } else if (end != null && a.status() == 200 && !phase.equals(end)) {
      violations.add(ref + " was " + end + " and is " + phase);
    } else if (phase.equals("done") || phase.equals("cancelled")) {
      finalPhases.put(ref, phase);
    }
  }

  public void cancel(int node, String ref) {
    if (!cluster.nodes.get(node).down) {
      HttpResponse a = cluster.cancel(node, ref);
      if (a.status() == 200) {
        record(ref, a);
      }
    }
  }

  /**
   * The addition to the rules: once all troubles are over, each job that was accepted is answered
   * for within 75 s of polls, five seconds apart, at any controller; what has not ended runs or has
   * its place in the queue.
   */
  public void awaitAllAnswered() {
    Set<String> left = new TreeSet<>(accepted);
    for (int s = 0; s < 75 && !left.isEmpty(); s += 5) {
      int round = s / 5;
      left.removeIf(
          ref -> {
            HttpResponse a = cluster.poll((round + ref.hashCode() % 3 + 3) % 3, ref);
            record(ref, a);
            return a.status() == 200;
          });
      cluster.advance(left.isEmpty() ? 0 : 5);
    }
    left.forEach(ref -> violations.add(ref + " has no answer for 75 s"));
  }

  /** Tasks of jobs that were told to have ended are on no machine. */
  private void nothingRunsAfterItsEnd() {
    finalPhases.forEach(
        (ref, end) -> {
          if (!cluster.runningTasks(ref).isEmpty()) {
            violations.add(ref + " is " + end + " and on a machine");
          }
        });
  }

  /**
   * Once all has settled: repeats are known, what ended is gone, somebody leads, and no rule was
   * broken.
   */
  public void verifyFinalState() {
    awaitAllAnswered();
    for (int i = 0; i < accepted.size(); i++) {
      String ref = accepted.get(i);
      poll(i % 3, ref);
      HttpResponse again = cluster.submit((i + 1) % 3, job(ref, "array", 1));
      if (again.status() != 200) {
        violations.add(ref + " submitted again gets " + again.status());
      }
    }
    nothingRunsAfterItsEnd();
    if (cluster.leader() == null) {
      violations.add("nobody is steward");
    }
    violations.addAll(cluster.violations());
  }
}
