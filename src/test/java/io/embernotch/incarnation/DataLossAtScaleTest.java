package io.embernotch.incarnation;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeStore.Held;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three controllers and 300 machines full of live services when the store loses its data. */
class DataLossAtScaleTest {
  private static final int MACHINES = 300;
  private static final int EACH = 8;

  private final SimulatedCluster world = new SimulatedCluster(3, 200);

  @BeforeEach
  void full() {
    world.settle(3);
    for (int i = 0; i < MACHINES; i++) {
      world.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    world.pass(world.cloud.bootS + 2);
    int n = 0;
    for (var w : world.workers.values()) {
      w.node = n++ % 3;
    }
    for (int i = 0; i < MACHINES; i++) {
      world.submit(
          i % 3, job("j-1" + i, "standing", EACH).replace("\"standard\"", "\"production\""));
    }
    world.pass(15);
    assertThat(tasks()).isEqualTo(MACHINES * EACH);
  }

  private int tasks() {
    return world.workers.values().stream().mapToInt(w -> w.alive().size()).sum();
  }

  /**
   * A live service that is submitted after the loss runs within seconds, and nothing else was
   * touched.
   */
  private void liveAgain() {
    world.boot("g8", "z1", true);
    double lostAt = world.time.now();
    // 200 if its first try went into contents that had been put back, and was not told.
    while (world
                .submit(1, job("j-20", "standing", 1).replace("\"standard\"", "\"production\""))
                .status()
            / 100
        != 2) {
      world.pass(0.1);
      assertThat(world.time.now() - lostAt).as("submissions are taken again").isLessThan(5);
    }
    world.pass(world.cloud.bootS + 3);
    assertThat(world.running("j-20")).hasSize(1);
    assertThat(tasks()).isEqualTo(MACHINES * EACH + 1);
    assertThat(world.workers.values()).allSatisfy(w -> assertThat(w.session).isEqualTo(1));
    assertThat(world.broken()).isEmpty();
    // Packed, 300 jobs with their tasks take a few changes, where their keys would take 600.
    assertThat(world.state.keys("block/")).hasSizeLessThan(20);
  }

  @Test
  void everythingGone() {
    world.state.loseAll();
    liveAgain();
  }

  @Test
  void putBackToBeforeWorkThatEndedAndWorkThatStarted() {
    Held then = world.state.held();
    for (int i = 0; i < 20; i++) {
      assertThat(world.abort(i % 3, "j-1" + i).status()).isEqualTo(200);
    }
    world.pass(10);
    assertThat(tasks()).isEqualTo((MACHINES - 20) * EACH);
    for (int i = 0; i < 20; i++) {
      assertThat(world.submit(i % 3, job("j-3" + i, "standing", EACH)).status()).isEqualTo(201);
    }
    world.pass(10);
    world.state.putBack(then, false);
    liveAgain();
    for (int i = 0; i < 20; i++) {
      assertThat(world.phase(i % 3, "j-1" + i)).isEqualTo("cancelled");
      assertThat(world.phase(i % 3, "j-3" + i)).isEqualTo("running");
    }
  }
}
