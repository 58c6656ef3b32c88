package io.embernotch.controller;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SeedRange;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Random restarts of processes and machines, combined with stale copies of heartbeats and repeated
 * commands. {@code -Dincarnations.seeds=N} sets the number of seeds, {@code -Dincarnations.from=N}
 * the first one.
 */
class ProcessIncarnationsRandomizedTest {
  private static final SeedRange SEEDS = SeedRange.fromProperties("incarnations", 200);
  private static final int STEPS = 40;

  /** One run with a cluster, the answers to its users and its random choices. */
  private static final class Run {
    private final SplittableRandom random;
    private final SimulatedCluster cluster = new SimulatedCluster(3, 10);
    private final RecordedAnswers answers = new RecordedAnswers(cluster);
    private int nextJob = 1;

    Run(long seed) {
      random = new SplittableRandom(seed);
    }

    List<String> violations() {
      cluster.awaitLeader(3);
      for (int step = 0; step < STEPS; step++) {
        performRandomAction(random.nextInt(3));
        cluster.advance(random.nextDouble(4));
        for (String ref : answers.accepted) {
          answers.poll(random.nextInt(3), ref);
        }
      }
      endAllFaults();
      cluster.redeliverAll();
      cluster.advance(80);
      cluster.redeliverAll();
      cluster.advance(20);
      answers.verifyFinalState();
      return answers.violations;
    }

    private void performRandomAction(int node) {
      switch (random.nextInt(15)) {
        case 0, 1, 2 ->
            answers.submit(
                node,
                "j-" + nextJob++,
                random.nextInt(3) == 0 ? "standing" : "array",
                1 + random.nextInt(4));
        case 3 -> drawJob().forEach(cluster::completeTasks);
        case 4 -> drawJob().forEach(ref -> answers.cancel(node, ref));
        case 5 -> cluster.faults.commitDelivery = Delivery.draw(random);
        case 6 -> cluster.faults.commandDelivery = Delivery.draw(random);
        case 7 -> cluster.faults.delayFrames = !cluster.faults.delayFrames;
        case 8 -> {
          cluster.deliverDelayed();
          cluster.redeliverAll();
        }
        case 9 -> restartMachine();
        case 10 -> isolateOneOrNone();
        case 11 -> drawInboundPartitions();
        case 12 -> deliverStaleHeartbeats();
        default -> restartOneOrAll();
      }
    }

    /** Draws one of the accepted jobs; empty if there is none yet. */
    private List<String> drawJob() {
      return answers.accepted.isEmpty()
          ? List.of()
          : List.of(answers.accepted.get(random.nextInt(answers.accepted.size())));
    }

    private void restartMachine() {
      if (!cluster.workers.isEmpty()) {
        List<FakeWorker> machines = List.copyOf(cluster.workers.values());
        machines.get(random.nextInt(machines.size())).restart(random.nextBoolean());
      }
    }

    /** Isolates one controller from the store and its peers, but not from its workers, or none. */
    private void isolateOneOrNone() {
      int isolated = random.nextInt(6);
      for (ControllerNode node : cluster.nodes) {
        node.storeUnavailable = node.index == isolated;
        node.peersUnreachable = node.index == isolated;
      }
    }

    private void drawInboundPartitions() {
      for (FakeWorker worker : cluster.workers.values()) {
        worker.inboundPartitioned = random.nextInt(4) == 0;
      }
    }

    /** Delivers up to five earlier heartbeats of a random machine to random controllers. */
    private void deliverStaleHeartbeats() {
      List<String> names = List.copyOf(cluster.workers.keySet());
      if (!names.isEmpty()) {
        List<byte[]> heartbeats = cluster.heartbeatsOf(names.get(random.nextInt(names.size())));
        for (int i = 0; i < 5 && !heartbeats.isEmpty(); i++) {
          cluster.deliverHeartbeat(
              cluster.nodes.get(random.nextInt(3)),
              heartbeats.get(random.nextInt(heartbeats.size())));
        }
      }
    }

    /** Stops one controller or all of them, and starts them again within half a second. */
    private void restartOneOrAll() {
      int drawn = random.nextInt(5);
      List<ControllerNode> nodes = drawn < 3 ? List.of(cluster.nodes.get(drawn)) : cluster.nodes;
      nodes.forEach(ControllerNode::kill);
      cluster.advance(random.nextDouble(0.5));
      nodes.forEach(ControllerNode::start);
    }

    private void endAllFaults() {
      cluster.faults.commitDelivery = Delivery.DELIVERED;
      cluster.faults.commandDelivery = Delivery.DELIVERED;
      cluster.faults.delayFrames = false;
      for (ControllerNode node : cluster.nodes) {
        node.storeUnavailable = false;
        node.peersUnreachable = false;
      }
      cluster.workers.values().forEach(worker -> worker.inboundPartitioned = false);
      cluster.deliverDelayed();
    }
  }

  @Test
  void restartsAndStaleMessagesViolateNoInvariant() {
    assertThat(SEEDS.violations(seed -> new Run(seed).violations())).isEmpty();
  }
}
