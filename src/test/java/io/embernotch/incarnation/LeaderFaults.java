package io.embernotch.incarnation;

import io.embernotch.codec.Json;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates random faults of leaders in combination with data loss: a leader that is paused beyond
 * its lease, rolling restarts, a leader that ends together with a data loss or just before it, and
 * a second data loss during a restore.
 *
 * <p>At any time at least one controller has been running and has reached the others and the store
 * for a while, so that some controller knows every answer to users.
 */
final class LeaderFaults {
  /** Seconds after which a running controller that knows the contents knows all earlier answers. */
  private static final double STABLE_AFTER_S = 12;

  /** Longer than a leader's lease. */
  private static final double MIN_PAUSE_S = 4;

  private static final double MAX_PAUSE_S = 14;
  private static final double MAX_DOWN_S = 3;

  /** Maximum seconds until a submission is announced to the leader. */
  private static final double MAX_ANNOUNCEMENT_S = 1;

  /** Maximum seconds between a leader's end and a data loss. */
  private static final double MAX_BETWEEN_END_AND_LOSS_S = 0.6;

  /** Just before controllers that did not lead last restore, a third of a worker lease (10 s). */
  private static final double LATE_RESTORE_S = 9;

  private final SimulatedCluster cluster;
  private final SplittableRandom random;

  /** By controller: since when it runs, reaches the others and knows the contents. */
  private final double[] stableSince;

  /** By controller: when its pause or downtime ends. */
  private final double[] disruptedUntil;

  LeaderFaults(SimulatedCluster cluster, SplittableRandom random) {
    this.cluster = cluster;
    this.random = random;
    stableSince = new double[cluster.nodes.size()];
    disruptedUntil = new double[cluster.nodes.size()];
  }

  /** Ends faults that are due to end, and may start another one. */
  void step() {
    for (ControllerNode node : cluster.nodes) {
      if (isDisrupted(node) && cluster.time.now() >= disruptedUntil[node.index]) {
        recover(node);
      }
      if (!isDisrupted(node) && !isStable(node) && !knowsContents(node)) {
        stableSince[node.index] = cluster.time.now();
      }
    }
    switch (random.nextInt(6)) {
      case 0 -> pauseLeader();
      case 1 -> restart(cluster.nodes.get(random.nextInt(cluster.nodes.size())));
      default -> {}
    }
  }

  /** Ends all faults. */
  void end() {
    cluster.nodes.stream().filter(LeaderFaults::isDisrupted).forEach(this::recover);
  }

  /** Makes the store lose data once or twice; the leader may end at the same time. */
  void loseData(List<Snapshot> snapshots) {
    ControllerNode leader = cluster.leader();
    boolean leaderEnds = leader != null && mayDisrupt(leader) && random.nextInt(3) > 0;
    boolean endsBefore = random.nextBoolean();
    Snapshot present = cluster.store.snapshot();
    if (leaderEnds && endsBefore) {
      kill(leader);
      cluster.advance(random.nextDouble(MAX_BETWEEN_END_AND_LOSS_S));
    }
    loseOnce(snapshots);
    if (leaderEnds && !endsBefore) {
      cluster.advance(random.nextDouble(MAX_BETWEEN_END_AND_LOSS_S));
      kill(leader);
    }
    if (random.nextInt(3) == 0) {
      cluster.advance((random.nextBoolean() ? 0 : LATE_RESTORE_S) + random.nextDouble(4));
      cluster.store.restore(present, random.nextBoolean());
    }
    snapshots.clear();
  }

  private void loseOnce(List<Snapshot> snapshots) {
    if (snapshots.isEmpty() || random.nextInt(3) == 0) {
      cluster.store.wipe();
    } else {
      Snapshot snapshot = snapshots.get(random.nextInt(snapshots.size()));
      cluster.store.restore(snapshot, random.nextBoolean());
    }
  }

  private void pauseLeader() {
    ControllerNode leader = cluster.leader();
    if (leader != null && mayDisrupt(leader)) {
      leader.storeUnavailable = true;
      leader.peersUnreachable = true;
      leader.storeUnresponsive = random.nextBoolean();
      leader.workersUnreachable = random.nextBoolean();
      disruptedUntil[leader.index] =
          cluster.time.now() + MIN_PAUSE_S + random.nextDouble(MAX_PAUSE_S - MIN_PAUSE_S);
    }
  }

  private void restart(ControllerNode node) {
    if (!isDisrupted(node) && mayDisrupt(node)) {
      cluster.advance(MAX_ANNOUNCEMENT_S);
      kill(node);
    }
  }

  private void kill(ControllerNode node) {
    node.kill();
    disruptedUntil[node.index] = cluster.time.now() + random.nextDouble(MAX_DOWN_S);
  }

  private void recover(ControllerNode node) {
    node.storeUnavailable = false;
    node.peersUnreachable = false;
    node.storeUnresponsive = false;
    node.workersUnreachable = false;
    if (node.down) {
      node.start();
    }
    stableSince[node.index] = cluster.time.now();
  }

  private static boolean isDisrupted(ControllerNode node) {
    return node.down || node.storeUnavailable;
  }

  private boolean isStable(ControllerNode node) {
    return !isDisrupted(node) && cluster.time.now() - stableSince[node.index] >= STABLE_AFTER_S;
  }

  /** Whether another running controller knows all answers to users. */
  private boolean mayDisrupt(ControllerNode node) {
    return cluster.nodes.stream().anyMatch(other -> other != node && isStable(other));
  }

  private boolean knowsContents(ControllerNode node) {
    return Json.parseObject(cluster.await(node.controller.overview()).body())
        .get("sound")
        .asBoolean();
  }
}
