package io.embernotch.incarnation;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import io.embernotch.testkit.SeedRange;
import io.embernotch.testkit.SimulatedCluster;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Before a controller answers a user, another live controller knows what the answer says. The
 * answering process ends in the event that delivers its answer, the store is rolled back to an
 * earlier state, and no answer may be contradicted or withdrawn. The system properties told.from
 * and told.seeds select the seeds.
 */
class AnswersKnownToTwoControllersTest {
  private static final int SEEDS = 20;

  /** Seconds after which all controllers know which one is isolated. */
  private static final double ISOLATION_KNOWN_S = 8;

  /** Seconds after the data loss within which the remaining controllers restore what they know. */
  private static final double RESTORED_S = 25;

  /** Seconds after the last fault within which every controller answers for every job. */
  private static final double SETTLED_S = 45;

  /** Guards against an answer that is given before another controller knows what it says. */
  @Test
  void answersRemainValidIfTheResponderEndsAndTheStoreIsRolledBack() {
    assertThat(
            SeedRange.fromProperties("told", SEEDS).violations(seed -> new RandomRun(seed).run()))
        .isEmpty();
  }

  /** One run: some jobs and some answers; the controller that gives the last answer ends. */
  private static final class RandomRun {
    private static final int JOBS = 4;

    private final SplittableRandom random;
    private final SimulatedCluster cluster = new SimulatedCluster(3, 10);

    /** By job: the last phase that a user was told; {@code accepted} if only the acceptance was. */
    private final Map<String, String> lastPhases = new TreeMap<>();

    private final List<String> findings = new ArrayList<>();

    RandomRun(long seed) {
      random = new SplittableRandom(seed);
    }

    /** Returns the answers that were contradicted or withdrawn. */
    List<String> run() {
      cluster.awaitLeader(4);
      for (int number = 1; number <= JOBS; number++) {
        submit(randomNode(), "j-" + number, false);
      }
      cluster.advance(12);
      Snapshot before = cluster.store.snapshot();
      cluster.store.put("mark", "{}");
      ControllerNode responder = randomNode();
      ControllerNode isolated = random.nextInt(3) == 0 ? cluster.otherNode(responder) : null;
      if (isolated != null) {
        isolated.storeUnavailable = true;
        isolated.peersUnreachable = true;
      }
      cluster.advance(ISOLATION_KNOWN_S + random.nextDouble());
      int earlierRequests = random.nextInt(3);
      for (int i = 0; i < earlierRequests; i++) {
        sendRandomRequest(responder, false);
        cluster.advance(random.nextDouble());
      }
      sendRandomRequest(responder, true);
      if (!responder.down) {
        // No answer reported a new fact, for example because the job had not started.
        submit(responder, "j-last", true);
      }
      if (!responder.down) {
        findings.add("no successful answer by c" + responder.index);
      }
      cluster.store.restore(before, random.nextBoolean());
      cluster.advance(RESTORED_S);
      if (isolated != null) {
        isolated.storeUnavailable = false;
        isolated.peersUnreachable = false;
      }
      responder.start();
      cluster.advance(SETTLED_S);
      verify();
      return findings;
    }

    private ControllerNode randomNode() {
      return cluster.nodes.get(random.nextInt(3));
    }

    private void sendRandomRequest(ControllerNode responder, boolean isLast) {
      String running = "j-" + (1 + random.nextInt(JOBS));
      switch (random.nextInt(3)) {
        case 0 -> submit(responder, "j-" + (JOBS + 1 + lastPhases.size()), isLast);
        case 1 -> cancel(responder, running, isLast);
        default -> completeAndPoll(responder, running, isLast);
      }
    }

    private void submit(ControllerNode responder, String ref, boolean isLast) {
      byte[] body = job(ref, "array", 1).getBytes(StandardCharsets.UTF_8);
      cluster.invariants.submissionSent(body);
      double sentAt = cluster.time.now();
      Future<HttpResponse> answer = responder.controller.submit(body);
      answer.onSuccess(
          response -> {
            cluster.invariants.submitted(body, response, sentAt, cluster.time.now());
            recordAnswer(responder, ref, response, isLast);
          });
      cluster.await(answer);
    }

    private void cancel(ControllerNode responder, String ref, boolean isLast) {
      cluster.invariants.cancelRequested(ref, cluster.time.now());
      awaitStatusAnswer(responder, ref, responder.controller.abort(ref), isLast);
    }

    /** Polls until the end is reported; the first such answer counts. */
    private void completeAndPoll(ControllerNode responder, String ref, boolean isLast) {
      cluster.completeTasks(ref);
      for (int i = 0; i < 500 && !responder.down && !isEnd(lastPhases.get(ref)); i++) {
        awaitStatusAnswer(responder, ref, responder.controller.poll(ref), isLast);
      }
    }

    private void awaitStatusAnswer(
        ControllerNode responder, String ref, Future<HttpResponse> answer, boolean isLast) {
      double sentAt = cluster.time.now();
      answer.onSuccess(
          response -> {
            cluster.invariants.statusReceived(ref, response, sentAt, cluster.time.now());
            recordAnswer(responder, ref, response, isLast);
          });
      cluster.await(answer);
    }

    /** Records an answer; if it is the last one, its process ends before any other event. */
    private void recordAnswer(
        ControllerNode responder, String ref, HttpResponse response, boolean isLast) {
      if (response.status() >= 300) {
        return;
      }
      String phase =
          response.status() == 201
              ? "accepted"
              : Json.parseObject(response.body()).get("phase").asText();
      lastPhases.merge(ref, phase, (former, latter) -> isEnd(former) ? former : latter);
      if (isLast && (response.status() == 201 || isEnd(phase))) {
        responder.kill();
      }
    }

    private static boolean isEnd(String phase) {
      return "done".equals(phase) || "cancelled".equals(phase);
    }

    private void verify() {
      lastPhases.forEach(
          (ref, phase) -> {
            for (ControllerNode node : cluster.nodes) {
              String now = cluster.phase(node.index, ref);
              boolean valid = isEnd(phase) ? now.equals(phase) : !now.startsWith("status");
              if (!valid) {
                findings.add(ref + " was " + phase + ", c" + node.index + " answers " + now);
              }
            }
          });
      findings.addAll(cluster.violations());
    }
  }
}
