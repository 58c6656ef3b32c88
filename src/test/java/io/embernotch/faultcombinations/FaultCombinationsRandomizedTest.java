package io.embernotch.faultcombinations;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
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
    private final SimulatedCluster world = new SimulatedCluster(3, 10);
    private final RecordedAnswers told = new RecordedAnswers(world);

    History(long seed) {
      random = new SplittableRandom(seed);
      world.random = random.split();
    }

    private Node node() {
      Node leader = world.leader();
      return leader != null && random.nextInt(3) > 0 ? leader : world.nodes.get(random.nextInt(3));
    }

    private List<FakeWorker> some(double share) {
      List<FakeWorker> out = new ArrayList<>();
      for (FakeWorker w : world.workers.values()) {
        if (random.nextDouble() < share) {
          out.add(w);
        }
      }
      return out;
    }

    private Trouble draw() {
      Node n = node();
      switch (random.nextInt(20)) {
        case 0 -> {
          return new Trouble(
              "leader refused by the store", () -> n.noState = true, () -> n.noState = false);
        }
        case 1 -> {
          boolean silent = random.nextBoolean();
          return new Trouble(
              "controller cut from store and peers",
              () -> {
                n.noState = n.noPeers = true;
                n.silentState = silent;
              },
              () -> n.noState = n.noPeers = n.silentState = false);
        }
        case 2, 3 -> {
          return new Trouble(
              "store outage",
              () -> world.state.outage = true,
              () -> {
                if (world.state.outage) {
                  world.state.recover();
                }
              });
        }
        case 4 -> {
          return new Trouble(
              "late writes", () -> world.lateWrites = 0.4, () -> world.lateWrites = 0);
        }
        case 5 -> {
          return new Trouble(
              "late reports", () -> world.lateHeartbeats = 0.4, () -> world.lateHeartbeats = 0);
        }
        case 6 -> {
          List<FakeWorker> hit = some(0.4);
          return new Trouble(
              "deaf machines",
              () -> hit.forEach(w -> w.deaf = true),
              () -> hit.forEach(w -> w.deaf = false));
        }
        case 7 -> {
          List<FakeWorker> hit = some(0.4);
          return new Trouble(
              "mute machines",
              () -> hit.forEach(w -> w.mute = true),
              () -> hit.forEach(w -> w.mute = false));
        }
        case 8 -> {
          List<FakeWorker> hit = some(0.4);
          return new Trouble(
              "hung machines",
              () -> hit.forEach(w -> w.hung = true),
              () -> hit.forEach(FakeWorker::goOn));
        }
        case 9 -> {
          List<FakeWorker> hit = some(0.3);
          return new Trouble(
              "cut machines",
              () -> hit.forEach(w -> w.cut = true),
              () -> hit.forEach(w -> w.cut = false));
        }
        case 10 -> {
          return new Trouble(
              "zone cut",
              () -> world.cutZone = random.nextBoolean() ? "z1" : "z2",
              () -> world.cutZone = null);
        }
        case 11 -> {
          double backS = random.nextBoolean() ? 0.2 : random.nextDouble(10);
          return new Trouble(
              "controller ends",
              () -> {
                n.kill();
                world.time.after(
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
                  world.nodes.forEach(
                      m -> {
                        m.kill();
                        world.time.after(
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
          Fate fate = random.nextBoolean() ? Fate.HELD : Fate.LOST;
          return new Trouble(
              "direct commands lost or held",
              () -> world.directFate = fate,
              () -> {
                world.directFate = Fate.ARRIVES;
                world.releaseHeld();
              });
        }
        case 14 -> {
          return new Trouble(
              "frames held",
              () -> world.holdFrames = true,
              () -> {
                world.holdFrames = false;
                world.releaseHeld();
              });
        }
        case 15 -> {
          return new Trouble(
              "answers of the store lost",
              () -> world.lostAnswers = 0.4,
              () -> world.lostAnswers = 0);
        }
        case 16 -> {
          return new Trouble(
              "commands late", () -> world.lateCommands = 0.5, () -> world.lateCommands = 0);
        }
        case 17 -> {
          return new Trouble(
              "reports kept for the next leader",
              () -> world.heartbeatsForNext = 0.5,
              () -> world.heartbeatsForNext = 0);
        }
        case 18 -> {
          double lost = random.nextDouble(0.6);
          return new Trouble(
              "reads of the store lost", () -> world.lostReads = lost, () -> world.lostReads = 0);
        }
        default -> {
          return new Trouble(
              "slow store", () -> world.stateSlowS = 1.2, () -> world.stateSlowS = 0);
        }
      }
    }

    /** Questions at all nodes, milliseconds apart, around whatever happens to the job then. */
    private void lookClosely(String ref) {
      for (double at = 0; at < 1; at += random.nextDouble(0.06)) {
        int node = random.nextInt(3);
        world.time.after(at, () -> world.askPoll(node, ref));
      }
    }

    private void trace(String what) {
      if (TRACE) {
        System.out.printf("%.3f %s%n", world.time.now(), what);
      }
    }

    private String anyJob() {
      return told.accepted.get(random.nextInt(told.accepted.size()));
    }

    private List<String> play() {
      world.settle(3);
      world.userDelayS = random.nextBoolean() ? 0 : 0.05;
      world.cloud.bootS = random.nextBoolean() ? 5 : 1.2;
      int next = 0;
      for (String shape : List.of("array", "group", "standing", "array")) {
        told.submit(next % 3, "j-" + next++, shape, 2 + random.nextInt(6));
      }
      world.pass(12);
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
                told.submit(
                    random.nextInt(3),
                    "j-" + next++,
                    List.of("array", "group", "standing").get(random.nextInt(3)),
                    1 + random.nextInt(4));
            case 1 -> {
              String ref = anyJob();
              lookClosely(ref);
              world.time.after(random.nextDouble(0.3), () -> world.finish(ref));
            }
            case 2 -> {
              String ref = anyJob();
              lookClosely(ref);
              world.askCancel(random.nextInt(3), ref);
            }
            case 3 -> {
              String ref = "j-" + next++;
              String json = job(ref, "array", 1 + random.nextInt(2));
              world.askSubmit(random.nextInt(3), json);
              world.askSubmit(random.nextInt(3), json);
              lookClosely(ref);
            }
            default -> told.ask(random.nextInt(3), anyJob());
          }
        }
        world.pass(random.nextInt(4) == 0 ? random.nextDouble(6) : random.nextDouble(1));
      }
      on.forEach(t -> t.end.run());
      world.userDelayS = 0;
      world.nodes.stream().filter(n -> n.down).forEach(Node::start);
      world.workers.values().forEach(w -> w.cut = w.deaf = w.mute = false);
      world.pass(30);
      world.rules.quiet = true;
      told.answered();
      world.pass(95);
      told.atTheEnd();
      List<String> wrong = new ArrayList<>(told.wrong);
      wrong.addAll(world.rules.startsAfterCancel);
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
