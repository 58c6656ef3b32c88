package io.embernotch.controller;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
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
    SimulatedCluster world = new SimulatedCluster(3, 10);
    RecordedAnswers told = new RecordedAnswers(world);
    world.settle(3);
    int next = 1;
    for (int step = 0; step < 40; step++) {
      int node = random.nextInt(3);
      switch (random.nextInt(15)) {
        case 0, 1, 2 ->
            told.submit(
                node,
                "j-" + next++,
                random.nextInt(3) == 0 ? "standing" : "array",
                1 + random.nextInt(4));
        case 3 -> some(told, random).forEach(world::finish);
        case 4 -> some(told, random).forEach(ref -> told.cancel(node, ref));
        case 5 -> world.commitFate = Fate.values()[random.nextInt(3)];
        case 6 -> world.directFate = Fate.values()[random.nextInt(3)];
        case 7 -> world.holdFrames = !world.holdFrames;
        case 8 -> {
          world.releaseHeld();
          world.repeatAll();
        }
        case 9 -> {
          if (!world.workers.isEmpty()) {
            List<FakeWorker> all = List.copyOf(world.workers.values());
            all.get(random.nextInt(all.size())).back(random.nextBoolean());
          }
        }
        case 10 -> alone(world, random);
        case 11 -> {
          for (FakeWorker w : world.workers.values()) {
            w.deaf = random.nextInt(4) == 0;
          }
        }
        case 12 -> copies(world, random);
        default -> back(world, random);
      }
      world.pass(random.nextDouble(4));
      for (String ref : told.accepted) {
        told.ask(random.nextInt(3), ref);
      }
    }
    world.commitFate = Fate.ARRIVES;
    world.directFate = Fate.ARRIVES;
    world.holdFrames = false;
    world.nodes.forEach(n -> n.noState = n.noPeers = false);
    world.workers.values().forEach(w -> w.deaf = false);
    world.releaseHeld();
    world.repeatAll();
    world.pass(80);
    world.repeatAll();
    world.pass(20);
    told.atTheEnd();
    return told.wrong;
  }

  private static List<String> some(RecordedAnswers told, SplittableRandom random) {
    return told.accepted.isEmpty()
        ? List.of()
        : List.of(told.accepted.get(random.nextInt(told.accepted.size())));
  }

  /** One loses the store and the others, but not its workers; or has them again. */
  private static void alone(SimulatedCluster world, SplittableRandom random) {
    int which = random.nextInt(6);
    world.nodes.forEach(n -> n.noState = n.noPeers = n.index == which);
  }

  /** Copies of any age of what some machine has said reach any controller. */
  private static void copies(SimulatedCluster world, SplittableRandom random) {
    List<String> names = List.copyOf(world.workers.keySet());
    if (!names.isEmpty()) {
      List<byte[]> said = world.heartbeatsOf(names.get(random.nextInt(names.size())));
      for (int i = 0; i < 5 && !said.isEmpty(); i++) {
        world.late(world.nodes.get(random.nextInt(3)), said.get(random.nextInt(said.size())));
      }
    }
  }

  /** One, or all of them, end and are back after up to half a second. */
  private static void back(SimulatedCluster world, SplittableRandom random) {
    int which = random.nextInt(5);
    List<Node> nodes = which < 3 ? List.of(world.nodes.get(which)) : world.nodes;
    nodes.forEach(Node::kill);
    world.pass(random.nextDouble(0.5));
    nodes.forEach(Node::start);
  }

  @Test
  void nothingToldIsTakenBackAndNothingRunsTwice() {
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
