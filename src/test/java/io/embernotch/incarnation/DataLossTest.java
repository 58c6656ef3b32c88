package io.embernotch.incarnation;

import static io.embernotch.testkit.SimulatedCluster.after;
import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.testkit.FakeStore.Held;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The store loses data while controllers and workers go on. */
class DataLossTest {
  private final SimulatedCluster world = new SimulatedCluster(3, 10);
  private Node leader;

  /** A job that is done, a service and an array that run, one that waits for the array. */
  private void work() {
    leader = world.settle(3);
    for (String json :
        new String[] {
          job("j-1", "array", 2),
          job("j-2", "standing", 3),
          job("j-3", "array", 4),
          after("j-4", 1, "j-3")
        }) {
      assertThat(world.submit(0, json).status()).isEqualTo(201);
    }
    world.pass(15);
    world.finish("j-1");
    world.pass(4);
    for (int n = 0; n < 3; n++) {
      assertThat(world.phase(n, "j-1")).isEqualTo("done");
    }
    assertThat(world.running("j-2")).hasSize(3);
    assertThat(world.running("j-3")).hasSize(4);
  }

  /** All is as if nothing had been lost, within so many seconds, and goes on from there. */
  private void allIsServedAgain(double within) {
    for (double left = within; left > 0; left -= 0.25) {
      world.pass(0.25);
      for (int n = 0; n < 3; n++) {
        for (String ref : new String[] {"j-1", "j-2", "j-3", "j-4"}) {
          assertThat(world.phase(n, ref)).as(ref + " asked of " + n).isNotEqualTo("status 404");
        }
        assertThat(world.phase(n, "j-1")).isIn("done", "status 503");
      }
    }
    world.pass(30);
    assertThat(world.workers.values())
        .as("no worker's lease ran out")
        .allSatisfy(w -> assertThat(w.session).isEqualTo(1));
    assertThat(world.running("j-2")).hasSize(3);
    assertThat(world.running("j-3")).hasSize(4);
    for (int n = 0; n < 3; n++) {
      assertThat(world.phase(n, "j-1")).isEqualTo("done");
      assertThat(world.phase(n, "j-2")).isEqualTo("running");
      assertThat(world.phase(n, "j-4")).isEqualTo("queued");
      assertThat(world.phase(n, "j-99")).isEqualTo("status 404");
      // A repeat is a repeat.
      assertThat(world.submit(n, job("j-1", "array", 2)).status()).isEqualTo(200);
      assertThat(world.submit(n, job("j-3", "array", 4)).status()).isEqualTo(200);
    }
    world.finish("j-3");
    world.pass(20);
    assertThat(world.phase(1, "j-3")).isEqualTo("done");
    assertThat(world.running("j-4")).hasSize(1);
    assertThat(world.submit(2, job("j-5", "array", 2)).status()).isEqualTo(201);
    world.pass(15);
    assertThat(world.running("j-5")).hasSize(2);
  }

  private static int losses(SimulatedCluster world) {
    int n = 0;
    for (Node node : world.nodes) {
      n += Json.parseObject(world.await(node.controller.overview()).body()).get("losses").asInt();
    }
    return n;
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(world.broken()).isEmpty();
  }

  @Test
  void everythingGoneInAQuietMoment() {
    work();
    world.state.loseAll();
    allIsServedAgain(6);
    assertThat(world.leader()).as("who was steward knows most, and leads").isSameAs(leader);
  }

  @Test
  void everythingGoneTwiceInARow() {
    work();
    world.state.loseAll();
    world.pass(2.2);
    world.state.loseAll();
    allIsServedAgain(8);
    world.state.loseAll();
    world.pass(10);
    assertThat(world.phase(1, "j-3")).isEqualTo("done");
    assertThat(world.phase(2, "j-1")).isEqualTo("done");
  }

  @Test
  void putBackToAnEarlierMomentWhoseLeadersKeyStandsThere() {
    work();
    Held then = world.state.held();
    world.submit(1, job("j-7", "array", 2));
    world.submit(1, job("j-8", "array", 2));
    world.pass(6);
    assertThat(world.running("j-7")).hasSize(2);
    world.finish("j-8");
    world.pass(4);
    assertThat(world.phase(2, "j-8")).isEqualTo("done");
    world.state.putBack(then, true);
    allIsServedAgain(6);
    assertThat(world.phase(0, "j-8")).isEqualTo("done");
    assertThat(world.running("j-7")).hasSize(2);
  }

  @Test
  void putBackWithoutLeasesWhileAnotherLeaderHasBeenSince() {
    work();
    Held then = world.state.held();
    leader.kill();
    world.pass(12);
    Node second = world.leader();
    assertThat(second).isNotNull().isNotSameAs(leader);
    leader.start();
    world.pass(3);
    world.state.putBack(then, false);
    allIsServedAgain(6);
    assertThat(world.leader()).isSameAs(second);
  }

  @Test
  void goneBetweenACommitAndItsAnswerWhichArrivesInTheNextIncarnation() {
    work();
    world.commitFate = Fate.HELD;
    world.submit(1, job("j-6", "array", 2));
    world.pass(1.2);
    assertThat(world.heldCount()).isPositive();
    world.state.loseAll();
    world.commitFate = Fate.ARRIVES;
    world.pass(6);
    int before = world.state.keys("").size();
    world.releaseHeld();
    // Stamps begin again after a loss, and the late one finds those that it names.
    assertThat(world.state.keys("").size()).isEqualTo(before);
    allIsServedAgain(1);
  }

  /** A submission's transaction is held back, and everything is lost before it arrives. */
  private void aLateSubmission() {
    work();
    world.commitFate = Fate.HELD;
    world.commitsWith = "job/j-6";
    assertThat(world.submit(1, job("j-6", "array", 2)).status()).isEqualTo(503);
    assertThat(world.heldCount()).isPositive();
    world.state.loseAll();
    world.commitFate = Fate.ARRIVES;
    world.pass(8);
    world.releaseHeld();
  }

  @Test
  void aTransactionFromBeforeTheLossIsNotAppliedThoughItsModRevisionsCoincide() {
    aLateSubmission();
    assertThat(world.state.value("job/j-6")).isNull();
    allIsServedAgain(1);
  }

  @Test
  void itIsTheConditionOnTheIncarnationThatRefusesIt() {
    world.state.blindTo = "era/";
    aLateSubmission();
    assertThat(world.state.value("job/j-6")).isNotNull();
  }

  @Test
  void aWorkerThatHasSeenAHigherTokenThanAnybodyKnowsIsServedInAnIncarnationAboveIt() {
    work();
    FakeWorker w = world.running("j-2").values().iterator().next();
    w.token = 1L << 50;
    world.pass(25);
    assertThat(world.leader()).isNotNull();
    assertThat(w.session).isEqualTo(1);
    assertThat(w.token).isGreaterThan(1L << 50);
    assertThat(world.running("j-2")).hasSize(3);
    // No data was lost.
    assertThat(losses(world)).isZero();
  }

  @Test
  void goneAsAnOutageEnds() {
    work();
    world.state.outage = true;
    world.pass(8);
    world.state.loseAll();
    world.state.recover();
    allIsServedAgain(6);
  }

  @Test
  void goneWhileAUserCancels() {
    work();
    FakeWorker w = world.running("j-3").values().iterator().next();
    w.cut = true;
    assertThat(world.abort(1, "j-3").status()).isEqualTo(503);
    world.state.loseAll();
    world.pass(6);
    w.cut = false;
    world.pass(6);
    assertThat(world.abort(1, "j-3").status()).isEqualTo(200);
    world.state.loseAll();
    world.pass(8);
    for (int n = 0; n < 3; n++) {
      assertThat(world.phase(n, "j-3")).isEqualTo("cancelled");
      assertThat(world.phase(n, "j-4")).isEqualTo("cancelled");
    }
    assertThat(world.running("j-3")).isEmpty();
  }

  @Test
  void theLeaderEndsWithTheDataAndWhatIsLeftGoesOnWithoutRunningTwice() {
    work();
    Held then = world.state.held();
    world.submit(1, job("j-7", "array", 2));
    world.pass(6);
    world.state.putBack(then, false);
    leader.kill();
    world.pass(25);
    assertThat(world.leader()).isNotNull();
    assertThat(world.phase(world.leader().index, "j-1")).isEqualTo("done");
    world.pass(100);
    assertThat(world.running("j-2")).hasSize(3);
    // Accepted by a controller that is still there: written again, and run once nothing of it can
    // be anywhere.
    assertThat(world.running("j-7")).hasSize(2);
  }

  @Test
  void aControllerThatWasAwayDuringTheLossGoesOverToTheNewIncarnation() {
    work();
    Node other = world.other(leader);
    other.noState = true;
    other.noPeers = true;
    world.state.loseAll();
    world.pass(15);
    other.noState = false;
    other.noPeers = false;
    allIsServedAgain(8);
  }

  @Test
  void takeoversOutagesAndRestartsAreNoLoss() {
    work();
    for (int i = 0; i < 3; i++) {
      Node now = world.leader();
      now.kill();
      world.pass(14);
      now.start();
      world.state.outage = true;
      world.pass(5);
      world.state.recover();
      world.pass(5);
    }
    assertThat(losses(world)).isZero();
    world.state.loseAll();
    world.pass(8);
    assertThat(losses(world)).isEqualTo(3);
  }

  @Test
  void theLossIsNoticedWithinOneLeaseOfTheLeader() {
    work();
    double lease = leader.settings.workers().leaseS() / 10;
    Held then = world.state.held();
    world.pass(5);
    world.state.loseAll();
    world.pass(lease);
    assertThat(losses(world)).isPositive();
    world.pass(20);
    int before = losses(world);
    world.state.putBack(then, true);
    world.pass(lease);
    assertThat(losses(world)).isGreaterThan(before);
  }
}
