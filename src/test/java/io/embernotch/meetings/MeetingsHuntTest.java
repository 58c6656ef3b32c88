package io.embernotch.meetings;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.Told;
import io.embernotch.testkit.World;
import io.embernotch.testkit.World.Fate;
import io.embernotch.testkit.World.Node;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Pairs and triples of troubles whose times meet, around takeovers, ends of leases and the end of last tasks, drawn by a
 * seed. {@code -Dmeetings.seeds=N} plays more, {@code -Dmeetings.from=N} others.
 */
class MeetingsHuntTest {
  private static final int SEEDS = Integer.getInteger("meetings.seeds", 60);
  private static final int FROM = Integer.getInteger("meetings.from", 1);
  private static final int STEPS = 100;

  /** A trouble that begins and, after a while, is over. */
  private record Trouble(Runnable begin, Runnable end) {}

  private static final class History {
    private final SplittableRandom random;
    private final World world = new World(3, 10);
    private final Told told = new Told(world);

    History(long seed) {
      random = new SplittableRandom(seed);
      world.random = random.split();
    }

    private Node node() {
      Node leader = world.steward();
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
      switch (random.nextInt(16)) {
        case 0 -> {
          return new Trouble(() -> n.noState = true, () -> n.noState = false);
        }
        case 1 -> {
          boolean silent = random.nextBoolean();
          return new Trouble(() -> {
            n.noState = n.noPeers = true;
            n.silentState = silent;
          }, () -> n.noState = n.noPeers = n.silentState = false);
        }
        case 2, 3 -> {
          return new Trouble(() -> world.state.outage = true, () -> {
            if (world.state.outage) {
              world.state.recover();
            }
          });
        }
        case 4 -> {
          return new Trouble(() -> world.lateWrites = 0.4, () -> world.lateWrites = 0);
        }
        case 5 -> {
          return new Trouble(() -> world.lateReports = 0.4, () -> world.lateReports = 0);
        }
        case 6 -> {
          List<FakeWorker> hit = some(0.4);
          return new Trouble(() -> hit.forEach(w -> w.deaf = true), () -> hit.forEach(w -> w.deaf = false));
        }
        case 7 -> {
          List<FakeWorker> hit = some(0.4);
          return new Trouble(() -> hit.forEach(w -> w.mute = true), () -> hit.forEach(w -> w.mute = false));
        }
        case 8 -> {
          List<FakeWorker> hit = some(0.4);
          return new Trouble(() -> hit.forEach(w -> w.hung = true), () -> hit.forEach(FakeWorker::goOn));
        }
        case 9 -> {
          List<FakeWorker> hit = some(0.3);
          return new Trouble(() -> hit.forEach(w -> w.cut = true), () -> hit.forEach(w -> w.cut = false));
        }
        case 10 -> {
          return new Trouble(() -> world.cutZone = random.nextBoolean() ? "z1" : "z2", () -> world.cutZone = null);
        }
        case 11 -> {
          double backS = random.nextBoolean() ? 0.2 : random.nextDouble(10);
          return new Trouble(() -> {
            n.kill();
            world.time.after(backS, () -> {
              if (n.down) {
                n.start();
              }
            });
          }, () -> {});
        }
        case 12 -> {
          double backS = random.nextBoolean() ? 0.2 : random.nextDouble(40);
          return new Trouble(() -> world.nodes.forEach(m -> {
            m.kill();
            world.time.after(backS, () -> {
              if (m.down) {
                m.start();
              }
            });
          }), () -> {});
        }
        case 13 -> {
          Fate fate = random.nextBoolean() ? Fate.HELD : Fate.LOST;
          return new Trouble(() -> world.directFate = fate, () -> {
            world.directFate = Fate.ARRIVES;
            world.releaseHeld();
          });
        }
        case 14 -> {
          return new Trouble(() -> world.holdFrames = true, () -> {
            world.holdFrames = false;
            world.releaseHeld();
          });
        }
        default -> {
          return new Trouble(() -> world.stateSlowS = 1.2, () -> world.stateSlowS = 0);
        }
      }
    }

    private String anyJob() {
      return told.accepted.get(random.nextInt(told.accepted.size()));
    }

    private List<String> play() {
      world.settle(3);
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
          t.begin.run();
          on.add(t);
        } else if (random.nextInt(8) == 0) {
          on.remove(random.nextInt(on.size())).end.run();
        }
        for (int i = random.nextInt(4); i > 0; i--) {
          switch (random.nextInt(5)) {
            case 0 -> told.submit(random.nextInt(3), "j-" + next++, List.of("array", "group", "standing").get(random.nextInt(3)), 1 + random.nextInt(4));
            case 1 -> world.finish(anyJob());
            case 2 -> world.askCancel(random.nextInt(3), anyJob());
            default -> told.ask(random.nextInt(3), anyJob());
          }
        }
        world.pass(random.nextInt(4) == 0 ? random.nextDouble(6) : random.nextDouble(1));
      }
      on.forEach(t -> t.end.run());
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
