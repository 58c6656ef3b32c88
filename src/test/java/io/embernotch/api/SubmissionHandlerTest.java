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

/** Submissions and polls when the store is unavailable, or takes less than is submitted. */
class SubmissionHandlerTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3);

  private Future<HttpResponse> submit(ControllerNode node, String ref) {
    return node.controller.submit(job(ref, "array", 1).getBytes(StandardCharsets.UTF_8));
  }

  private static long refusedCount(List<Future<HttpResponse>> responses) {
    return responses.stream()
        .filter(response -> response.isComplete() && response.result().status() == 503)
        .count();
  }

  @Test
  void aControllerWithoutStoreForwardsTheSubmission() {
    cluster.advance(4);
    ControllerNode withoutStore = cluster.nodes.get(1);
    withoutStore.storeUnavailable = true;
    cluster.advance(1);
    HttpResponse response = cluster.await(submit(withoutStore, "j-1"));
    assertThat(response.status()).isIn(200, 201);
    assertThat(cluster.store.value("job/j-1")).isNotNull();
  }

  @Test
  void inAnOutageSubmissionsAreRefusedWithATimeToRetry() {
    cluster.advance(4);
    cluster.store.outage = true;
    cluster.advance(3);
    HttpResponse response = cluster.await(submit(cluster.nodes.get(0), "j-2"));
    assertThat(response.status()).isEqualTo(503);
    assertThat(response.retryAfterS()).isPositive();
    cluster.store.endOutage();
    cluster.advance(5);
    assertThat(cluster.await(submit(cluster.nodes.get(0), "j-2")).status()).isIn(200, 201);
  }

  @Test
  void submissionsBeyondTheWriteRateAreRefusedAtOnceAndStartsContinue() {
    cluster.advance(4);
    ControllerNode leader = cluster.leader();
    List<Future<HttpResponse>> responses = new ArrayList<>();
    for (int i = 0; i < 1000; i++) {
      responses.add(submit(leader, "j-" + i));
    }
    long refused = refusedCount(responses);
    // Accepted: half of the patience at 85% of 100 writes a second, and the burst.
    assertThat(refused).isGreaterThan(800);
    assertThat(responses.stream().filter(Future::isComplete))
        .allMatch(response -> response.result().retryAfterS() >= 1);
    cluster.advance(3);
    assertThat(responses).allMatch(Future::isComplete);
    cluster.advance(20);
    // Accepted jobs run: their starts did not wait behind the other submissions.
    assertThat(
            cluster.workers.values().stream()
                .mapToInt(worker -> worker.runningTasks().size())
                .sum())
        .isEqualTo(24);
  }

  @Test
  void pollsBeyondTheRateLimitAreRefusedAndNotForwarded() {
    cluster.advance(4);
    ControllerNode follower = cluster.nodes.get((cluster.leader().index + 1) % 3);
    assertThat(cluster.await(submit(follower, "j-7")).status()).isEqualTo(201);
    cluster.advance(15);
    int frames = cluster.frameCount();
    List<Future<HttpResponse>> responses = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      responses.add(follower.controller.poll("j-7"));
    }
    // As many are forwarded as the connections allow in a heartbeat interval, the rest is refused.
    double maxForwarded =
        follower.settings.quota().maxConnections()
            / follower.settings.workers().heartbeatIntervalS();
    long refused = refusedCount(responses);
    assertThat(refused).isGreaterThanOrEqualTo(10_000 - (long) maxForwarded - 1);
    cluster.advance(0.2);
    assertThat(cluster.frameCount() - frames).isLessThanOrEqualTo(2 * (int) maxForwarded + 20);
    assertThat(responses).allMatch(Future::isComplete);
    cluster.advance(3);
    assertThat(cluster.phase(follower.index, "j-7")).isEqualTo("running");
  }
}
