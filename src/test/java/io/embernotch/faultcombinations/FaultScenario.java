package io.embernotch.faultcombinations;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.settings.Settings;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Three controllers, what their users were told, and the end that every meeting of troubles has in
 * common.
 */
final class FaultScenario {
  /** So long after the last trouble everything is expected to run again. */
  private static final double RECOVERY_S = 20;

  /** Longer than a job may wait beside room for it. */
  private static final double QUIET_S = 100;

  final SimulatedCluster world;
  final RecordedAnswers told;

  FaultScenario(SimulatedCluster world) {
    this.world = world;
    this.told = new RecordedAnswers(world);
  }

  /** Teams may use a good deal more than most histories need. */
  static FaultScenario large() {
    return new FaultScenario(new SimulatedCluster(3, 10));
  }

  /** The same with troubles that are drawn by a seed. */
  static FaultScenario drawn(long seed) {
    FaultScenario s = large();
    s.world.random = new SplittableRandom(seed);
    return s;
  }

  Settings settings() {
    return world.nodes.get(0).settings;
  }

  double cancelS() {
    return settings().workers().cancelS();
  }

  double leaseS() {
    return settings().workers().leaseS();
  }

  /** Machines on which tasks of a job run. */
  List<FakeWorker> machinesOf(String ref) {
    return world.running(ref).values().stream().distinct().toList();
  }

  /** How often tasks of a job were started on the machines that are there. */
  long starts(String ref) {
    return world.workers.values().stream()
        .flatMap(w -> w.started.stream())
        .filter(s -> s.startsWith(ref + "/"))
        .count();
  }

  /** Asks for a job's state at every node in turn, {@code everyS} apart. */
  void lookAround(String ref, double forS, double everyS) {
    int node = 0;
    for (double at = 0; at < forS; at += everyS) {
      int asked = node++ % world.nodes.size();
      world.time.after(at, () -> world.askPoll(asked, ref));
    }
  }

  /**
   * Asks for a cancellation, at another node each time, until it is confirmed or the time is out.
   */
  void cancelUntilTold(String ref, int firstNode, double forS) {
    for (int i = 0; i < forS; i++) {
      int node = (firstNode + i) % world.nodes.size();
      world.time.after(i, () -> world.askCancel(node, ref));
    }
  }

  /** Ends all troubles. */
  void mend() {
    world.directFate = Fate.ARRIVES;
    world.commitFate = Fate.ARRIVES;
    world.holdFrames = false;
    world.lateWrites = 0;
    world.lateHeartbeats = 0;
    world.lateCommands = 0;
    world.lostAnswers = 0;
    world.lostReads = 0;
    world.heartbeatsForNext = 0;
    world.stateSlowS = 0;
    world.userDelayS = 0;
    world.cutZone = null;
    world.cloud.down = false;
    if (world.state.outage) {
      world.state.recover();
    }
    world.nodes.forEach(
        n -> {
          n.noState = n.noPeers = n.noWorkers = n.silentState = false;
          if (n.down) {
            n.start();
          }
        });
    world
        .workers
        .values()
        .forEach(
            w -> {
              w.cut = w.deaf = w.mute = false;
              w.goOn();
            });
    world.releaseHeld();
  }

  /**
   * Troubles are over: all that was accepted is answered for, nothing waits beside room, and no
   * rule was broken.
   */
  void allIsWell() {
    mend();
    world.pass(RECOVERY_S);
    world.rules.quiet = true;
    world.pass(QUIET_S);
    told.atTheEnd();
    assertThat(told.wrong).isEmpty();
    assertThat(world.broken()).isEmpty();
    assertThat(world.rules.startsAfterCancel).isEmpty();
  }
}
