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
 * Random data losses among other random faults and requests, all determined by a seed. Checks the
 * answers to users and the tasks on workers against the invariants. The system property {@code
 * loss.seeds} sets the number of seeds, {@code loss.from} the first one.
 */
class DataLossRandomizedTest {
  private static final int SEEDS = Integer.getInteger("loss.seeds", 500);
  private static final int FROM = Integer.getInteger("loss.from", 1);
  private static final int STEPS = 30;
  private static final int CONTROLLERS = 3;

  /** Faults in addition to the random actions of all runs. */
  private enum Variant {
    PLAIN,
    /** A controller is isolated from the others at times. */
    ISOLATED,
    /** Leaders are paused, restarted, and end together with a data loss. */
    WITHOUT_LEADER
  }

  /** One run of random steps, all determined by one seed. */
  private static final class RandomRun {
    private final SplittableRandom random;
    private final SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, 10);
    private final RecordedAnswers answers = new RecordedAnswers(cluster);

    /** Earlier states that the store may be rolled back to. */
    private final List<Snapshot> snapshots = new ArrayList<>();

    /** Selects the controller that is isolated from the others; null if none is. */
    private final SplittableRandom isolation;

    /** Generates faults of leaders; null if there are none. */
    private final LeaderFaults leaderFaults;

    private int nextJob = 1;

    RandomRun(long seed, Variant variant) {
      random = new SplittableRandom(seed);
      isolation = variant == Variant.ISOLATED ? new SplittableRandom(~seed) : null;
      leaderFaults =
          variant == Variant.WITHOUT_LEADER
              ? new LeaderFaults(cluster, new SplittableRandom(~seed))
              : null;
    }

    /** Returns the violations that were found. */
    List<String> run() {
      cluster.awaitLeader(3);
      for (int step = 0; step < STEPS; step++) {
        isolateOrReconnect();
        if (leaderFaults != null) {
          leaderFaults.step();
        }
        randomAction();
        if (random.nextInt(4) == 0) {
          snapshots.add(cluster.store.snapshot());
        }
        cluster.advance(random.nextDouble(5));
        for (String ref : answers.accepted) {
          answers.poll(random.nextInt(CONTROLLERS), ref);
        }
      }
      cluster.nodes.forEach(node -> node.peersUnreachable = false);
      if (leaderFaults != null) {
        leaderFaults.end();
      }
      cluster.faults.commitDelivery = Delivery.DELIVERED;
      cluster.deliverDelayed();
      cluster.advance(80);
      answers.verifyFinalState();
      return answers.violations;
    }

    /** Isolates at most one controller from the others; it still reaches the store and workers. */
    private void isolateOrReconnect() {
      if (isolation == null || isolation.nextInt(3) > 0) {
        return;
      }
      int isolated = isolation.nextInt(2 * CONTROLLERS);
      for (ControllerNode node : cluster.nodes) {
        node.peersUnreachable = node.index == isolated;
      }
    }

    private void randomAction() {
      int node = random.nextInt(CONTROLLERS);
      switch (random.nextInt(10)) {
        case 0, 1, 2 -> submit(node);
        case 3, 4 -> completeTasks();
        case 5 -> cancel(node);
        case 6 ->
            cluster.faults.commitDelivery =
                random.nextBoolean() ? Delivery.DELAYED : Delivery.DELIVERED;
        case 7 -> cluster.deliverDelayed();
        case 8 -> outage();
        default -> {
          cluster.faults.commitDelivery = Delivery.DELIVERED;
          if (leaderFaults == null) {
            loseData();
          } else {
            leaderFaults.loseData(snapshots);
          }
        }
      }
    }

    private void submit(int node) {
      answers.submit(
          node,
          "j-" + nextJob++,
          random.nextInt(3) == 0 ? "standing" : "array",
          1 + random.nextInt(4));
    }

    private void completeTasks() {
      if (!answers.accepted.isEmpty()) {
        cluster.completeTasks(randomJob());
      }
    }

    private void cancel(int node) {
      if (!answers.accepted.isEmpty()) {
        answers.cancel(node, randomJob());
      }
    }

    private String randomJob() {
      return answers.accepted.get(random.nextInt(answers.accepted.size()));
    }

    private void outage() {
      if (random.nextInt(3) == 0) {
        cluster.store.outage = true;
        cluster.advance(random.nextDouble(6));
        cluster.store.endOutage();
      }
    }

    /**
     * Makes the store lose data and may restart a follower. The other controllers keep running, so
     * that no answer is forgotten. A submission that only the killed controller knew, because its
     * frame to the leader did not arrive, would be lost. So the controller is killed only after its
     * last frames have had the time to arrive.
     */
    private void loseData() {
      ControllerNode leader = cluster.leader();
      if (leader != null && random.nextInt(3) == 0) {
        // The restarted follower knows nothing of the lost contents.
        ControllerNode other = cluster.otherNode(leader);
        cluster.advance(1);
        other.kill();
        cluster.advance(random.nextDouble(2));
        other.start();
      }
      if (snapshots.isEmpty() || random.nextInt(2) == 0) {
        cluster.store.wipe();
      } else {
        Snapshot snapshot = snapshots.remove(random.nextInt(snapshots.size()));
        cluster.store.restore(snapshot, random.nextBoolean());
      }
      snapshots.clear();
    }
  }

  @Test
  void noAnswerIsRevokedAndNothingRunsTwice() {
    assertThat(violationsBySeed(FROM, SEEDS, Variant.PLAIN)).isEmpty();
  }

  /** Guards against answers of a controller that does not learn of a data loss. */
  @Test
  void noAnswerIsRevokedWhileAControllerIsIsolated() {
    assertThat(violationsBySeed(FROM, SEEDS, Variant.ISOLATED)).isEmpty();
  }

  /**
   * Guards against answers that only a killed leader knew, and against a leader that resumes with
   * outdated state. Some other controller that has been running for a while always keeps running.
   */
  @Test
  void noAnswerIsRevokedWhileLeadersArePausedAndEnd() {
    assertThat(violationsBySeed(FROM, SEEDS, Variant.WITHOUT_LEADER)).isEmpty();
  }

  /** Runs more seeds than a build has time for. Arguments: first seed, number of seeds, variant. */
  public static void main(String[] args) {
    Map<Long, List<String>> violations =
        violationsBySeed(
            Integer.parseInt(args[0]), Integer.parseInt(args[1]), Variant.valueOf(args[2]));
    System.err.println(args[1] + " seeds from " + args[0] + ": " + violations);
    System.exit(violations.isEmpty() ? 0 : 1);
  }

  private static Map<Long, List<String>> violationsBySeed(int from, int seeds, Variant variant) {
    Map<Long, List<String>> violations = new TreeMap<>();
    for (long seed = from; seed < from + seeds; seed++) {
      List<String> found = new RandomRun(seed, variant).run();
      if (!found.isEmpty()) {
        violations.put(seed, found);
      }
    }
    return violations;
  }
}
