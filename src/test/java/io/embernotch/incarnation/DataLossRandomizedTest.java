package io.embernotch.incarnation;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeStore.Snapshot;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Losses at any moment, among everything else that happens, drawn by a seed; what users were told
 * and what workers ran is held against the rules. {@code -Dloss.seeds=N} plays more, {@code
 * -Dloss.from=N} others.
 */
class DataLossRandomizedTest {
  private static final int SEEDS = Integer.getInteger("loss.seeds", 500);
  private static final int FROM = Integer.getInteger("loss.from", 1);

  /** Plays one seed; returns what went wrong. */
  private static List<String> play(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedCluster cluster = new SimulatedCluster(3, 10);
    RecordedAnswers answers = new RecordedAnswers(cluster);
    cluster.awaitLeader(3);
    List<Snapshot> moments = new ArrayList<>();
    int next = 1;
    for (int step = 0; step < 30; step++) {
      int node = random.nextInt(3);
      switch (random.nextInt(10)) {
        case 0, 1, 2 ->
            answers.submit(
                node,
                "j-" + next++,
                random.nextInt(3) == 0 ? "standing" : "array",
                1 + random.nextInt(4));
        case 3, 4 -> {
          if (!answers.accepted.isEmpty()) {
            cluster.completeTasks(answers.accepted.get(random.nextInt(answers.accepted.size())));
          }
        }
        case 5 -> {
          if (!answers.accepted.isEmpty()) {
            answers.cancel(node, answers.accepted.get(random.nextInt(answers.accepted.size())));
          }
        }
        case 6 ->
            cluster.faults.commitDelivery =
                random.nextBoolean() ? Delivery.DELAYED : Delivery.DELIVERED;
        case 7 -> cluster.deliverDelayed();
        case 8 -> {
          if (random.nextInt(3) == 0) {
            cluster.store.outage = true;
            cluster.advance(random.nextDouble(6));
            cluster.store.endOutage();
          }
        }
        default -> {
          cluster.faults.commitDelivery = Delivery.DELIVERED;
          lose(cluster, random, moments);
        }
      }
      if (random.nextInt(4) == 0) {
        moments.add(cluster.store.snapshot());
      }
      cluster.advance(random.nextDouble(5));
      for (String ref : answers.accepted) {
        answers.poll(random.nextInt(3), ref);
      }
    }
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.deliverDelayed();
    cluster.advance(80);
    answers.verifyFinalState();
    return answers.violations;
  }

  /**
   * One controller that was up before stays up; that is what nothing is forgotten for. What only
   * the one that ends knew is lost with it: a submission whose frame to the leader did not arrive.
   * So it ends only once what it was told last has had the time to arrive.
   */
  private static void lose(
      SimulatedCluster cluster, SplittableRandom random, List<Snapshot> moments) {
    ControllerNode leader = cluster.leader();
    if (leader != null && random.nextInt(3) == 0) {
      // One that is not leader restarts: it knows nothing of what was.
      ControllerNode other = cluster.otherNode(leader);
      cluster.advance(1);
      other.kill();
      cluster.advance(random.nextDouble(2));
      other.start();
    }
    if (moments.isEmpty() || random.nextInt(2) == 0) {
      cluster.store.wipe();
    } else {
      cluster.store.restore(moments.remove(random.nextInt(moments.size())), random.nextBoolean());
    }
    moments.clear();
  }

  @Test
  void nothingToldIsTakenBackAndNothingRunsTwice() {
    assertThat(hunt(FROM, SEEDS)).isEmpty();
  }

  /** More seeds than a build has time for: FROM and how many. */
  public static void main(String[] args) {
    Map<Long, List<String>> wrong = hunt(Integer.parseInt(args[0]), Integer.parseInt(args[1]));
    System.err.println(args[1] + " seeds from " + args[0] + ": " + wrong);
    System.exit(wrong.isEmpty() ? 0 : 1);
  }

  private static Map<Long, List<String>> hunt(int from, int seeds) {
    Map<Long, List<String>> wrong = new TreeMap<>();
    for (long seed = from; seed < from + seeds; seed++) {
      List<String> found = play(seed);
      if (!found.isEmpty()) {
        wrong.put(seed, found);
      }
    }
    return wrong;
  }
}
