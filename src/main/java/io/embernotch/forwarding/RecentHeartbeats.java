package io.embernotch.forwarding;

import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.model.Heartbeat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The newest heartbeat of each machine that this controller received while it did not lead. */
final class RecentHeartbeats {
  /** A heartbeat that is older than so many heartbeat intervals is not recent. */
  private static final double RECENT_INTERVALS = 1.5;

  private record Received(Heartbeat heartbeat, double at) {}

  private final double heartbeatIntervalS;
  private final Map<String, Received> newest;

  /**
   * Creates an empty record.
   *
   * @param maxMachines machines that are remembered; those used least recently are dropped
   */
  RecentHeartbeats(double heartbeatIntervalS, int maxMachines) {
    this.heartbeatIntervalS = heartbeatIntervalS;
    this.newest = new LeastRecentlyUsed<>(maxMachines);
  }

  /**
   * Remembers a heartbeat that was received now. A copy of an older one is no sign of life, and
   * must not be handed to the next leader as one.
   */
  void record(Heartbeat heartbeat, double now) {
    Received before = newest.get(heartbeat.machine());
    if (before == null
        || heartbeat.newerThan(before.heartbeat.agentEpoch(), before.heartbeat.seq())) {
      newest.put(heartbeat.machine(), new Received(heartbeat, now));
    }
  }

  /** The heartbeats received within about one heartbeat interval before {@code now}. */
  List<Heartbeat> recent(double now) {
    List<Heartbeat> heartbeats = new ArrayList<>();
    double since = now - RECENT_INTERVALS * heartbeatIntervalS;
    for (Received received : newest.values()) {
      if (received.at >= since) {
        heartbeats.add(received.heartbeat);
      }
    }
    return heartbeats;
  }
}
