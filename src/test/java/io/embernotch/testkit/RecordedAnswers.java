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
  private final SimulatedCluster world;
  private final Map<String, String> ends = new TreeMap<>();
  public final List<String> accepted = new ArrayList<>();
  public final List<String> wrong = new ArrayList<>();

  public RecordedAnswers(SimulatedCluster world) {
    this.world = world;
  }

  public void submit(int node, String ref, String shape, int tasks) {
    if (!world.nodes.get(node).down
        && world.submit(node, job(ref, shape, tasks)).status() / 100 == 2) {
      accepted.add(ref);
    }
  }

  public void ask(int node, String ref) {
    if (!world.nodes.get(node).down) {
      hear(ref, world.poll(node, ref));
    }
  }

  private void hear(String ref, HttpResponse a) {
    String phase =
        a.status() == 200
            ? Json.parseObject(a.body()).get("phase").asText()
            : "status " + a.status();
    String end = ends.get(ref);
    if (phase.equals("status 404")) {
      wrong.add(ref + " is forgotten");
    } else if (end != null && a.status() == 200 && !phase.equals(end)) {
      wrong.add(ref + " was " + end + " and is " + phase);
    } else if (phase.equals("done") || phase.equals("cancelled")) {
      ends.put(ref, phase);
    }
  }

  public void cancel(int node, String ref) {
    if (!world.nodes.get(node).down) {
      HttpResponse a = world.abort(node, ref);
      if (a.status() == 200) {
        hear(ref, a);
      }
    }
  }

  /**
   * The addition to the rules: once all troubles are over, each job that was accepted is answered
   * for within 75 s of polls, five seconds apart, at any controller; what has not ended runs or has
   * its place in the queue.
   */
  public void answered() {
    Set<String> left = new TreeSet<>(accepted);
    for (int s = 0; s < 75 && !left.isEmpty(); s += 5) {
      int round = s / 5;
      left.removeIf(
          ref -> {
            HttpResponse a = world.poll((round + ref.hashCode() % 3 + 3) % 3, ref);
            hear(ref, a);
            return a.status() == 200;
          });
      world.pass(left.isEmpty() ? 0 : 5);
    }
    left.forEach(ref -> wrong.add(ref + " has no answer for 75 s"));
  }

  /** Tasks of jobs that were told to have ended are on no machine. */
  private void nothingRunsAfterItsEnd() {
    ends.forEach(
        (ref, end) -> {
          if (!world.running(ref).isEmpty()) {
            wrong.add(ref + " is " + end + " and on a machine");
          }
        });
  }

  /**
   * Once all has settled: repeats are known, what ended is gone, somebody leads, and no rule was
   * broken.
   */
  public void atTheEnd() {
    answered();
    for (int i = 0; i < accepted.size(); i++) {
      String ref = accepted.get(i);
      ask(i % 3, ref);
      HttpResponse again = world.submit((i + 1) % 3, job(ref, "array", 1));
      if (again.status() != 200) {
        wrong.add(ref + " submitted again gets " + again.status());
      }
    }
    nothingRunsAfterItsEnd();
    if (world.leader() == null) {
      wrong.add("nobody is steward");
    }
    wrong.addAll(world.broken());
  }
}
