package io.embernotch.controller;

import static io.embernotch.testkit.SimulatedCluster.after;
import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Jobs that wait for others: nothing starts too early, and no job is left behind a cancelled one.
 */
class JobDependenciesTest {
  private final SimulatedCluster world = new SimulatedCluster(3);

  private void accept(int node, String json) {
    assertThat(world.submit(node, json).status()).isEqualTo(201);
  }

  private void finish(String ref) {
    assertThat(world.running(ref)).isNotEmpty();
    world.finish(ref);
    world.pass(3);
    assertThat(world.phase(0, ref)).isEqualTo("done");
  }

  @AfterEach
  void noRuleWasBroken() {
    assertThat(world.broken()).isEmpty();
  }

  @Test
  void aDiamondRunsStageByStageWhicheverNodeTookItsJobs() {
    world.settle(4);
    accept(0, job("j-1", "array", 2));
    accept(1, after("j-2", 2, "j-1"));
    accept(
        2,
        after("j-3", 2, "j-1")
            .replace("\"array\"", "\"group\"")
            .replace("\"owner\":\"red\"", "\"owner\":\"blue\""));
    accept(0, after("j-4", 1, "j-2", "j-3", "j-1", "j-2"));
    world.pass(15);
    HttpResponse waiting = world.poll(1, "j-4");
    assertThat(Json.parseObject(waiting.body()).get("phase").asText()).isEqualTo("queued");
    assertThat(Json.parseObject(waiting.body()).get("awaited").asInt()).isEqualTo(3);
    finish("j-1");
    world.pass(5);
    finish("j-2");
    world.pass(5);
    assertThat(world.phase(0, "j-4")).isEqualTo("queued");
    finish("j-3");
    world.pass(5);
    finish("j-4");
    // The last was submitted when the others were long over.
    accept(2, after("j-5", 1, "j-4", "j-1"));
    world.pass(5);
    finish("j-5");
  }

  @Test
  void waitingJobsHoldNeitherMachinesNorQuotaNorGuarantee() {
    world.settle(4);
    accept(0, job("j-1", "array", 1));
    world.pass(15);
    int machines = world.workers.size();
    accept(0, after("j-2", 24, "j-1"));
    accept(0, job("j-3", "array", 23).replace("\"loaner\":true", "\"loaner\":true"));
    world.pass(20);
    // All but one of the team's 24 cards are for the job that need not wait.
    assertThat(world.running("j-3")).hasSize(23);
    assertThat(world.running("j-2")).isEmpty();
    assertThat(
            Json.parseObject(world.await(world.nodes.get(0).controller.overview()).body())
                .get("cluster")
                .get("waiting_for_others")
                .asInt())
        .isEqualTo(1);
    assertThat(machines).isPositive();
  }

  @Test
  void anUncommittedEndLetsNothingStart() {
    world.settle(4);
    accept(0, job("j-1", "array", 1));
    accept(0, after("j-2", 1, "j-1"));
    world.pass(15);
    world.commitFate = Fate.LOST;
    world.finish("j-1");
    world.pass(5);
    assertThat(world.running("j-2")).isEmpty();
    assertThat(world.phase(0, "j-2")).isEqualTo("queued");
    world.commitFate = Fate.ARRIVES;
    world.pass(10);
    finish("j-2");
  }

  @Test
  void aTakeoverKeepsWaitingJobsWaitingAndLetsThemGoOn() {
    Node old = world.settle(4);
    accept(0, job("j-1", "array", 1));
    accept(0, after("j-2", 1, "j-1"));
    accept(0, after("j-3", 1, "j-2"));
    world.pass(15);
    old.kill();
    world.pass(20);
    assertThat(world.running("j-1")).hasSize(1);
    assertThat(world.running("j-2")).isEmpty();
    world.finish("j-1");
    // The next leader goes right after the end is committed.
    for (int i = 0; i < 200 && world.endInStore("j-1") == null; i++) {
      world.pass(0.05);
    }
    Node second = world.leader();
    if (second != null) {
      old.start();
      second.kill();
    }
    world.pass(30);
    world.finish("j-2");
    world.pass(8);
    assertThat(world.endInStore("j-2")).isEqualTo("done");
    assertThat(world.running("j-3")).hasSize(1);
  }

  @Test
  void aCancellationReachesAllThatNeedTheJobWhenItIsTold() {
    world.settle(4);
    accept(0, job("j-1", "array", 1));
    accept(0, after("j-2", 1, "j-1"));
    accept(0, after("j-3", 1, "j-2"));
    accept(0, job("j-9", "array", 1));
    accept(0, after("j-4", 1, "j-3", "j-9"));
    world.pass(15);
    assertThat(world.abort(1, "j-1").status()).isEqualTo(200);
    for (int n = 0; n < 3; n++) {
      for (String ref : new String[] {"j-2", "j-3", "j-4"}) {
        assertThat(world.phase(n, ref)).isEqualTo("cancelled");
      }
    }
    // One that is submitted afterwards is accepted all the same, and cancelled.
    accept(2, after("j-5", 1, "j-4"));
    world.pass(3);
    assertThat(world.phase(0, "j-5")).isEqualTo("cancelled");
    assertThat(world.endInStore("j-5")).isEqualTo("cancelled");
    assertThat(world.phase(0, "j-9")).isEqualTo("running");
  }

  @Test
  void afterADoneJobACancellationStopsNothing() {
    world.settle(4);
    accept(0, job("j-1", "array", 1));
    accept(0, after("j-2", 1, "j-1"));
    world.pass(15);
    finish("j-1");
    assertThat(new String(world.abort(0, "j-1").body())).contains("done");
    world.pass(5);
    assertThat(world.running("j-2")).hasSize(1);
  }

  @Test
  void aCascadeIsTakenUpByTheNextLeaderWhereverTheFirstOneStopped() {
    Node old = world.settle(4);
    accept(0, job("j-0", "array", 1));
    for (int i = 1; i < 40; i++) {
      accept(0, after("j-" + i, 1, "j-" + (i - 1)));
    }
    world.pass(10);
    assertThat(world.abort(old.index, "j-0").status()).isEqualTo(200);
    // Only the first end is sure to be in the store; the leader goes.
    old.kill();
    Node left = world.other(old);
    // Without a leader the store tells, as far as it is asked; it never says queued.
    for (String ref : new String[] {"j-1", "j-5", "j-39"}) {
      assertThat(world.phase(left.index, ref)).isIn("cancelled", "status 503");
    }
    assertThat(world.phase(left.index, "j-1")).isEqualTo("cancelled");
    world.pass(30);
    for (int i = 0; i < 40; i++) {
      assertThat(world.phase(left.index, "j-" + i)).isEqualTo("cancelled");
      assertThat(world.endInStore("j-" + i)).isEqualTo("cancelled");
    }
  }

  /**
   * The end of the first job is in the store in any case; how many of the others are is left to
   * chance.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.01, 0.05, 0.2, 1})
  void noStepOfACascadeIsLostWithItsLeader(double afterS) {
    Node old = world.settle(4);
    accept(0, job("j-0", "array", 1));
    for (int i = 1; i <= 60; i++) {
      accept(i % 3, after("j-" + i, 1, "j-" + i / 2, "j-" + i / 3));
    }
    world.pass(10);
    assertThat(world.abort(old.index, "j-0").status()).isEqualTo(200);
    world.time.pass(afterS);
    old.kill();
    // One that names them comes while nobody leads.
    Node left = world.other(old);
    assertThat(world.submit(left.index, after("j-99", 1, "j-60")).status()).isIn(200, 201);
    world.pass(30);
    for (int i = 1; i <= 60; i++) {
      assertThat(world.phase(left.index, "j-" + i)).isEqualTo("cancelled");
    }
    assertThat(world.phase(left.index, "j-99")).isEqualTo("cancelled");
  }

  @Test
  void someHundredCancelledJobsAreWrittenInTimeUnderLoweredLimits() {
    SimulatedCluster low = SimulatedCluster.lowering();
    low.pass(4);
    low.submit(0, job("j-0", "array", 1));
    for (int i = 1; i <= 300; i++) {
      int before = i % 3 == 0 ? i - 1 : 0;
      HttpResponse a = low.submit(i % 3, after("j-" + i, 1, "j-" + before));
      assertThat(a.status()).isIn(201, 503);
      if (a.status() == 503) {
        low.pass(1);
        i--;
      }
    }
    low.state.lower(1024, 4, 30);
    low.pass(2);
    assertThat(low.abort(0, "j-0").status()).isEqualTo(200);
    assertThat(low.phase(1, "j-300")).isEqualTo("cancelled");
    low.pass(0.6 * low.nodes.get(0).settings.workers().cancelS());
    for (int i = 0; i <= 300; i++) {
      assertThat(low.endInStore("j-" + i)).isEqualTo("cancelled");
    }
    assertThat(low.broken()).isEmpty();
  }

  @Test
  void whatANameIsOnlyTheStoreTells() {
    Node leader = world.settle(4);
    Node n = world.other(leader);
    accept(n.index, job("j-1", "standing", 1));
    accept(n.index, job("j-2", "array", 1));
    HttpResponse never = world.submit(n.index, after("j-3", 1, "j-2", "j-77"));
    assertThat(never.status()).isEqualTo(422);
    assertThat(new String(never.body())).contains("j-77");
    assertThat(world.submit(n.index, after("j-3", 1, "j-3")).status()).isEqualTo(422);
    assertThat(world.submit(n.index, after("j-3", 1, "j-1")).status()).isEqualTo(422);
    assertThat(
            world
                .submit(n.index, job("j-3", "array", 1).replace("}", ",\"awaits\":\"j-2\"}"))
                .status())
        .isEqualTo(400);
    accept(n.index, job("j-4", "array", 1).replace("}", ",\"awaits\":[]}"));
    // A store that does not answer proves nothing.
    world.state.outage = true;
    HttpResponse later = world.submit(leader.index, after("j-5", 1, "j-66"));
    assertThat(later.status()).isEqualTo(503);
    assertThat(later.retryAfterS()).isPositive();
    world.state.recover();
    world.pass(3);
    assertThat(world.submit(leader.index, after("j-5", 1, "j-66")).status()).isEqualTo(422);
  }

  @Test
  void aLeaderThatHasNotHeardOfANamedJobWaitsForIt() {
    Node leader = world.settle(4);
    accept(leader.index, job("j-9", "array", 1));
    // Both were written by a node whose messages do not arrive, and the watch has not told either.
    Node n = world.other(leader);
    n.noPeers = true;
    accept(n.index, job("j-1", "array", 1));
    accept(n.index, after("j-2", 1, "j-1"));
    n.noPeers = false;
    world.pass(15);
    assertThat(world.running("j-2")).isEmpty();
    finish("j-1");
    world.pass(5);
    finish("j-2");
  }

  @Test
  void aRepeatedSubmissionGetsItsStateWhateverWouldBeSaidOfItNow() {
    Node leader = world.settle(4);
    accept(0, job("j-1", "array", 1));
    world.pass(15);
    for (Node n : world.nodes) {
      // Limits, teams and checks may have changed since it was accepted.
      String other = job("j-1", "array", 1).replace("\"owner\":\"red\"", "\"owner\":\"gone\"");
      assertThat(world.submit(n.index, other).status()).isEqualTo(200);
      assertThat(world.submit(n.index, "{\"ref\":\"j-1\"}").status()).isEqualTo(200);
      String names = "j-" + "9".repeat(60);
      assertThat(world.submit(n.index, after("j-1", 1, names)).status()).isEqualTo(200);
    }
    assertThat(world.submit(leader.index, "{\"ref\":\"j-8\"}").status()).isEqualTo(400);
  }
}
