package io.embernotch.testkit;

import io.embernotch.codec.WorkerCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Every heartbeat that was sent, and the stale copies of them that arrive at controllers later. */
final class HeartbeatHistory {
  /**
   * Replays are spread over this long, so that they arrive before, while and after a new leader
   * begins.
   */
  private static final double REPLAY_SPREAD_S = 2;

  private final FakeTime time;
  private final NetworkFaults faults;
  private final MessageBuffer buffer;
  private final List<ControllerNode> nodes;
  private final Map<String, List<byte[]>> heartbeats = new HashMap<>();
  private final List<byte[]> keptForNextLeader = new ArrayList<>();

  HeartbeatHistory(
      FakeTime time, NetworkFaults faults, MessageBuffer buffer, List<ControllerNode> nodes) {
    this.time = time;
    this.faults = faults;
    this.buffer = buffer;
    this.nodes = nodes;
  }

  /** All that a machine has sent so far, the oldest first. */
  List<byte[]> of(String machine) {
    return heartbeats.getOrDefault(machine, List.of());
  }

  /** Notes a heartbeat that a worker sends now, and draws which copies of it arrive later. */
  void record(FakeWorker worker, ControllerNode receiver, byte[] heartbeat) {
    heartbeats.computeIfAbsent(worker.name, name -> new ArrayList<>()).add(heartbeat);
    buffer.keepCopy(() -> deliver(receiver, heartbeat));
    if (faults.hits(faults.replayedHeartbeatShare)) {
      keptForNextLeader.add(heartbeat);
    }
    // Drawn whatever the share is: the draws that follow stay the same for a seed.
    if (faults.random.nextDouble() < faults.duplicatedHeartbeatShare) {
      ControllerNode to = nodes.get(faults.random.nextInt(nodes.size()));
      double delayS =
          NetworkFaults.MIN_DELAY_S
              + faults.random.nextDouble(2 * receiver.settings.workers().leaseS());
      time.after(delayS, () -> deliver(to, heartbeat));
    }
  }

  /** A copy of a heartbeat arrives at a controller, whatever its age. */
  void deliver(ControllerNode to, byte[] heartbeat) {
    if (!to.down) {
      to.controller.handleHeartbeat(WorkerCodec.read(heartbeat));
    }
  }

  /** A leader has just written its key: every controller gets what was kept for this moment. */
  void replayToNewLeader() {
    List<byte[]> replays = List.copyOf(keptForNextLeader);
    keptForNextLeader.clear();
    for (byte[] heartbeat : replays) {
      for (ControllerNode to : nodes) {
        // Before the leader has read the store, while it reads, and after.
        time.after(faults.random.nextDouble(REPLAY_SPREAD_S), () -> deliver(to, heartbeat));
      }
    }
  }
}
