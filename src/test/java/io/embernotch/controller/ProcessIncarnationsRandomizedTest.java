package io.embernotch.controller;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Processes and machines that are back at once at any moment, with late copies of what was said
 * before and repeats of what was carried out, drawn by a seed. {@code -Dlives.seeds=N} plays more,
 * {@code -Dlives.from=N} others.
 */
class ProcessIncarnationsRandomizedTest {
  private static final int SEEDS = Integer.getInteger("lives.seeds", 200);
  private static final int FROM = Integer.getInteger("lives.from", 1);

  private static List<String> play(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedCluster cluster = new SimulatedCluster(3, 10);
    RecordedAnswers answers = new RecordedAnswers(cluster);
    cluster.awaitLeader(3);
    int next = 1;
    for (int step = 0; step < 40; step++) {
      int node = random.nextInt(3);
      switch (random.nextInt(15)) {
        case 0, 1, 2 ->
            answers.submit(
                node,
                "j-" + next++,
                random.nextInt(3) == 0 ? "standing" : "array",
                1 + random.nextInt(4));
        case 3 -> drawJob(answers, random).forEach(cluster::completeTasks);
        case 4 -> drawJob(answers, random).forEach(ref -> answers.cancel(node, ref));
        case 5 -> cluster.faults.commitDelivery = Delivery.values()[random.nextInt(3)];
        case 6 -> cluster.faults.commandDelivery = Delivery.values()[random.nextInt(3)];
        case 7 -> cluster.faults.delayFrames = !cluster.faults.delayFrames;
        case 8 -> {
          cluster.deliverDelayed();
          cluster.redeliverAll();
        }
        case 9 -> {
          if (!cluster.workers.isEmpty()) {
            List<FakeWorker> all = List.copyOf(cluster.workers.values());
            all.get(random.nextInt(all.size())).restart(random.nextBoolean());
          }
        }
        case 10 -> isolateOneOrNone(cluster, random);
        case 11 -> {
          for (FakeWorker worker : cluster.workers.values()) {
            worker.inboundPartitioned = random.nextInt(4) == 0;
          }
        }
        case 12 -> deliverStaleHeartbeats(cluster, random);
        default -> restartOneOrAll(cluster, random);
      }
      cluster.advance(random.nextDouble(4));
      for (String ref : answers.accepted) {
        answers.poll(random.nextInt(3), ref);
      }
    }
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.faults.delayFrames = false;
    cluster.nodes.forEach(n -> n.storeUnavailable = n.peersUnreachable = false);
    cluster.workers.values().forEach(worker -> worker.inboundPartitioned = false);
    cluster.deliverDelayed();
    cluster.redeliverAll();
    cluster.advance(80);
    cluster.redeliverAll();
    cluster.advance(20);
    answers.verifyFinalState();
    return answers.violations;
  }

  private static List<String> drawJob(RecordedAnswers answers, SplittableRandom random) {
    return answers.accepted.isEmpty()
        ? List.of()
        : List.of(answers.accepted.get(random.nextInt(answers.accepted.size())));
  }

  /** One loses the store and the others, but not its workers; or has them again. */
  private static void isolateOneOrNone(SimulatedCluster cluster, SplittableRandom random) {
    int which = random.nextInt(6);
    cluster.nodes.forEach(n -> n.storeUnavailable = n.peersUnreachable = n.index == which);
  }

  /** Copies of any age of what some machine has said reach any controller. */
  private static void deliverStaleHeartbeats(SimulatedCluster cluster, SplittableRandom random) {
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

  /** One, or all of them, end and are back after up to half a second. */
  private static void restartOneOrAll(SimulatedCluster cluster, SplittableRandom random) {
    int which = random.nextInt(5);
    List<ControllerNode> nodes = which < 3 ? List.of(cluster.nodes.get(which)) : cluster.nodes;
    nodes.forEach(ControllerNode::kill);
    cluster.advance(random.nextDouble(0.5));
    nodes.forEach(ControllerNode::start);
  }

  @Test
  void restartsAndStaleMessagesViolateNoInvariant() {
    Map<Long, List<String>> wrong = new TreeMap<>();
    for (long seed = FROM; seed < FROM + SEEDS; seed++) {
      List<String> found = play(seed);
      if (!found.isEmpty()) {
        wrong.put(seed, found);
      }
    }
    assertThat(wrong).isEmpty();
  }
}
