package io.embernotch.api;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.SimulatedCluster;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What becomes of submissions when the store is away, or takes less than is submitted. */
class SubmissionHandlerTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3);

  private Future<HttpResponse> submitSoon(ControllerNode n, String ref) {
    return n.controller.submit(job(ref, "array", 1).getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void aControllerWithoutStateServiceHasAnotherTakeTheSubmission() {
    cluster.advance(4);
    ControllerNode cut = cluster.nodes.get(1);
    cut.storeUnavailable = true;
    cluster.advance(1);
    HttpResponse a = cluster.await(submitSoon(cut, "j-1"));
    assertThat(a.status()).isIn(200, 201);
    assertThat(cluster.store.value("job/j-1")).isNotNull();
  }

  @Test
  void inAnOutageTheUserIsToldToComeBack() {
    cluster.advance(4);
    cluster.store.outage = true;
    cluster.advance(3);
    HttpResponse a = cluster.await(submitSoon(cluster.nodes.get(0), "j-2"));
    assertThat(a.status()).isEqualTo(503);
    assertThat(a.retryAfterS()).isPositive();
    cluster.store.endOutage();
    cluster.advance(5);
    assertThat(cluster.await(submitSoon(cluster.nodes.get(0), "j-2")).status()).isIn(200, 201);
  }

  @Test
  void moreThanTheStateServiceTakesIsRefusedAtOnceAndStartsGoOn() {
    cluster.advance(4);
    ControllerNode n = cluster.leader();
    List<Future<HttpResponse>> answers = new ArrayList<>();
    for (int i = 0; i < 1000; i++) {
      answers.add(submitSoon(n, "j-" + i));
    }
    long refused =
        answers.stream().filter(f -> f.isComplete() && f.result().status() == 503).count();
    // Half of the patience at 85% of 100 changes a second, and the burst: the rest knows at once.
    assertThat(refused).isGreaterThan(800);
    assertThat(answers.stream().filter(Future::isComplete))
        .allMatch(f -> f.result().retryAfterS() >= 1);
    cluster.advance(3);
    assertThat(answers).allMatch(Future::isComplete);
    cluster.advance(20);
    // Those that were taken run: their starts did not wait behind the flood.
    assertThat(cluster.workers.values().stream().mapToInt(w -> w.runningTasks().size()).sum())
        .isEqualTo(24);
  }

  @Test
  void aFloodOfPollsIsToldToComeBackAndReachesNobodyElse() {
    cluster.advance(4);
    ControllerNode follower = cluster.nodes.get((cluster.leader().index + 1) % 3);
    assertThat(cluster.await(submitSoon(follower, "j-7")).status()).isEqualTo(201);
    cluster.advance(15);
    int frames = cluster.frameCount();
    List<Future<HttpResponse>> answers = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      answers.add(follower.controller.poll("j-7"));
    }
    // As many as its connections could ask in a heartbeat interval are passed on, the rest knows at
    // once.
    double most =
        follower.settings.quota().maxConnections()
            / follower.settings.workers().heartbeatIntervalS();
    long refused =
        answers.stream().filter(f -> f.isComplete() && f.result().status() == 503).count();
    assertThat(refused).isGreaterThanOrEqualTo(10_000 - (long) most - 1);
    cluster.advance(0.2);
    assertThat(cluster.frameCount() - frames).isLessThanOrEqualTo(2 * (int) most + 20);
    assertThat(answers).allMatch(Future::isComplete);
    cluster.advance(3);
    assertThat(cluster.phase(follower.index, "j-7")).isEqualTo("running");
  }
}
