package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Pairs and triples of troubles whose times meet, around takeovers, ends of leases and the end of
 * last tasks, drawn by a seed. {@code -Dmeetings.seeds=N} plays more, {@code -Dmeetings.from=N}
 * others, {@code -Dmeetings.trace=true} tells what happens.
 */
class FaultCombinationsRandomizedTest {
  private static final int SEEDS = Integer.getInteger("meetings.seeds", 60);
  private static final int FROM = Integer.getInteger("meetings.from", 1);
  private static final int STEPS = 100;

  /** Prints what happens when; for one seed at a time. */
  private static final boolean TRACE = Boolean.getBoolean("meetings.trace");

  /** A trouble that begins and, after a while, is over. */
  private record Trouble(String name, Runnable begin, Runnable end) {}

  private static final class History {
    private final SplittableRandom random;
    private final SimulatedCluster cluster = new SimulatedCluster(3, 10);
    private final RecordedAnswers answers = new RecordedAnswers(cluster);

    History(long seed) {
      random = new SplittableRandom(seed);
      cluster.faults.random = random.split();
    }

    private ControllerNode node() {
      ControllerNode leader = cluster.leader();
      return leader != null && random.nextInt(3) > 0
          ? leader
          : cluster.nodes.get(random.nextInt(3));
    }

    private List<FakeWorker> some(double share) {
      List<FakeWorker> out = new ArrayList<>();
      for (FakeWorker w : cluster.workers.values()) {
        if (random.nextDouble() < share) {
          out.add(w);
        }
      }
      return out;
    }

    private Trouble draw() {
      ControllerNode n = node();
      switch (random.nextInt(20)) {
        case 0 -> {
          return new Trouble(
              "leader refused by the store",
              () -> n.storeUnavailable = true,
              () -> n.storeUnavailable = false);
        }
        case 1 -> {
          boolean silent = random.nextBoolean();
          return new Trouble(
              "controller cut from store and peers",
              () -> {
                n.storeUnavailable = n.peersUnreachable = true;
                n.storeUnresponsive = silent;
              },
              () -> n.storeUnavailable = n.peersUnreachable = n.storeUnresponsive = false);
        }
        case 2, 3 -> {
          return new Trouble(
              "store outage",
              () -> cluster.store.outage = true,
              () -> {
                if (cluster.store.outage) {
                  cluster.store.endOutage();
                }
              });
        }
        case 4 -> {
          return new Trouble(
              "late writes",
              () -> cluster.faults.delayedCommitShare = 0.4,
              () -> cluster.faults.delayedCommitShare = 0);
        }
        case 5 -> {
          return new Trouble(
              "late reports",
              () -> cluster.faults.duplicatedHeartbeatShare = 0.4,
              () -> cluster.faults.duplicatedHeartbeatShare = 0);
        }
        case 6 -> {
          List<FakeWorker> hit = some(0.4);
          return new Trouble(
              "deaf machines",
              () -> hit.forEach(w -> w.inboundPartitioned = true),
              () -> hit.forEach(w -> w.inboundPartitioned = false));
        }
        case 7 -> {
          List<FakeWorker> hit = some(0.4);
          return new Trouble(
              "mute machines",
              () -> hit.forEach(w -> w.outboundPartitioned = true),
              () -> hit.forEach(w -> w.outboundPartitioned = false));
        }
        case 8 -> {
          List<FakeWorker> hit = some(0.4);
          return new Trouble(
              "hung machines",
              () -> hit.forEach(w -> w.hung = true),
              () -> hit.forEach(FakeWorker::resume));
        }
        case 9 -> {
          List<FakeWorker> hit = some(0.3);
          return new Trouble(
              "cut machines",
              () -> hit.forEach(w -> w.partitioned = true),
              () -> hit.forEach(w -> w.partitioned = false));
        }
        case 10 -> {
          return new Trouble(
              "zone cut",
              () -> cluster.faults.partitionedZone = random.nextBoolean() ? "z1" : "z2",
              () -> cluster.faults.partitionedZone = null);
        }
        case 11 -> {
          double backS = random.nextBoolean() ? 0.2 : random.nextDouble(10);
          return new Trouble(
              "controller ends",
              () -> {
                n.kill();
                cluster.time.after(
                    backS,
                    () -> {
                      if (n.down) {
                        n.start();
                      }
                    });
              },
              () -> {});
        }
        case 12 -> {
          double backS = random.nextBoolean() ? 0.2 : random.nextDouble(40);
          return new Trouble(
              "all controllers end",
              () ->
                  cluster.nodes.forEach(
                      m -> {
                        m.kill();
                        cluster.time.after(
                            backS,
                            () -> {
                              if (m.down) {
                                m.start();
                              }
                            });
                      }),
              () -> {});
        }
        case 13 -> {
          Delivery fate = random.nextBoolean() ? Delivery.DELAYED : Delivery.LOST;
          return new Trouble(
              "direct commands lost or held",
              () -> cluster.faults.commandDelivery = fate,
              () -> {
                cluster.faults.commandDelivery = Delivery.DELIVERED;
                cluster.deliverDelayed();
              });
        }
        case 14 -> {
          return new Trouble(
              "frames held",
              () -> cluster.faults.delayFrames = true,
              () -> {
                cluster.faults.delayFrames = false;
                cluster.deliverDelayed();
              });
        }
        case 15 -> {
          return new Trouble(
              "answers of the store lost",
              () -> cluster.faults.lostCommitResponseShare = 0.4,
              () -> cluster.faults.lostCommitResponseShare = 0);
        }
        case 16 -> {
          return new Trouble(
              "commands late",
              () -> cluster.faults.delayedCommandShare = 0.5,
              () -> cluster.faults.delayedCommandShare = 0);
        }
        case 17 -> {
          return new Trouble(
              "reports kept for the next leader",
              () -> cluster.faults.replayedHeartbeatShare = 0.5,
              () -> cluster.faults.replayedHeartbeatShare = 0);
        }
        case 18 -> {
          double lost = random.nextDouble(0.6);
          return new Trouble(
              "reads of the store lost",
              () -> cluster.faults.lostReadShare = lost,
              () -> cluster.faults.lostReadShare = 0);
        }
        default -> {
          return new Trouble(
              "slow store",
              () -> cluster.faults.storeLatencyS = 1.2,
              () -> cluster.faults.storeLatencyS = 0);
        }
      }
    }

    /** Questions at all nodes, milliseconds apart, around whatever happens to the job then. */
    private void lookClosely(String ref) {
      for (double at = 0; at < 1; at += random.nextDouble(0.06)) {
        int node = random.nextInt(3);
        cluster.time.after(at, () -> cluster.pollAsync(node, ref));
      }
    }

    private void trace(String what) {
      if (TRACE) {
        System.out.printf("%.3f %s%n", cluster.time.now(), what);
      }
    }

    private String anyJob() {
      return answers.accepted.get(random.nextInt(answers.accepted.size()));
    }

    private List<String> play() {
      cluster.awaitLeader(3);
      cluster.faults.maxUserDelayS = random.nextBoolean() ? 0 : 0.05;
      cluster.cloud.bootS = random.nextBoolean() ? 5 : 1.2;
      int next = 0;
      for (String shape : List.of("array", "group", "standing", "array")) {
        answers.submit(next % 3, "j-" + next++, shape, 2 + random.nextInt(6));
      }
      cluster.advance(12);
      List<Trouble> on = new ArrayList<>();
      for (int step = 0; step < STEPS; step++) {
        if (on.isEmpty() || (on.size() < 3 && random.nextInt(6) == 0)) {
          Trouble t = draw();
          // A second one often begins within moments of the first, or as it ends.
          trace("begins: " + t.name);
          t.begin.run();
          on.add(t);
        } else if (random.nextInt(8) == 0) {
          Trouble t = on.remove(random.nextInt(on.size()));
          trace("is over: " + t.name);
          t.end.run();
        }
        for (int i = random.nextInt(4); i > 0; i--) {
          switch (random.nextInt(6)) {
            case 0 ->
                answers.submit(
                    random.nextInt(3),
                    "j-" + next++,
                    List.of("array", "group", "standing").get(random.nextInt(3)),
                    1 + random.nextInt(4));
            case 1 -> {
              String ref = anyJob();
              lookClosely(ref);
              cluster.time.after(random.nextDouble(0.3), () -> cluster.completeTasks(ref));
            }
            case 2 -> {
              String ref = anyJob();
              lookClosely(ref);
              cluster.cancelAsync(random.nextInt(3), ref);
            }
            case 3 -> {
              String ref = "j-" + next++;
              String json = job(ref, "array", 1 + random.nextInt(2));
              cluster.submitAsync(random.nextInt(3), json);
              cluster.submitAsync(random.nextInt(3), json);
              lookClosely(ref);
            }
            default -> answers.poll(random.nextInt(3), anyJob());
          }
        }
        cluster.advance(random.nextInt(4) == 0 ? random.nextDouble(6) : random.nextDouble(1));
      }
      on.forEach(t -> t.end.run());
      cluster.faults.maxUserDelayS = 0;
      cluster.nodes.stream().filter(n -> n.down).forEach(ControllerNode::start);
      cluster
          .workers
          .values()
          .forEach(w -> w.partitioned = w.inboundPartitioned = w.outboundPartitioned = false);
      cluster.advance(30);
      cluster.invariants.faultsOver = true;
      answers.awaitAllAnswered();
      cluster.advance(95);
      answers.verifyFinalState();
      List<String> wrong = new ArrayList<>(answers.violations);
      wrong.addAll(cluster.invariants.startsAfterCancellation());
      return wrong;
    }
  }

  @Test
  void noMeetingBreaksARule() {
    Map<Long, List<String>> wrong = new TreeMap<>();
    for (long seed = FROM; seed < FROM + SEEDS; seed++) {
      List<String> found = new History(seed).play();
      if (!found.isEmpty()) {
        wrong.put(seed, found);
      }
    }
    assertThat(wrong).isEmpty();
  }
}
