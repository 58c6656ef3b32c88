package io.embernotch.forwarding;

import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.model.Heartbeat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Keeps the newest heartbeat of each machine that this controller received while it was not the
 * leader.
 */
final class RecentHeartbeats {
  /** Heartbeat intervals for which a heartbeat counts as recent after it was received. */
  private static final double RECENT_INTERVALS = 1.5;

  private record Received(Heartbeat heartbeat, double receivedAt) {}

  private final double heartbeatIntervalS;
  private final Map<String, Received> newest;

  /**
   * Creates an empty record.
   *
   * @param maxMachines most machines that are kept; the least recently used ones are evicted
   */
  RecentHeartbeats(double heartbeatIntervalS, int maxMachines) {
    this.heartbeatIntervalS = heartbeatIntervalS;
    this.newest = new LeastRecentlyUsed<>(maxMachines);
  }

  /**
   * Records a heartbeat received at {@code now}. A copy of an older heartbeat is ignored: it does
   * not prove that the machine is alive, and must not reach the next leader as proof.
   */
  void record(Heartbeat heartbeat, double now) {
    Received previous = newest.get(heartbeat.machine());
    if (previous == null
        || heartbeat.isNewerThan(previous.heartbeat.agentEpoch(), previous.heartbeat.seq())) {
      newest.put(heartbeat.machine(), new Received(heartbeat, now));
    }
  }

  /** The heartbeats received within about one heartbeat interval before {@code now}. */
  List<Heartbeat> recent(double now) {
    List<Heartbeat> heartbeats = new ArrayList<>();
    double since = now - RECENT_INTERVALS * heartbeatIntervalS;
    for (Received received : newest.values()) {
      if (received.receivedAt >= since) {
        heartbeats.add(received.heartbeat);
      }
    }
    return heartbeats;
  }
}
