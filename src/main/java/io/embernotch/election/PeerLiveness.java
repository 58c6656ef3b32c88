package io.embernotch.election;

import io.embernotch.actor.Clock;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Tracks which other controllers are live, and which of those can reach the store. */
public final class PeerLiveness {
  private record LastHeartbeat(
      double receivedAt, boolean storeReachable, boolean acceptsReplication) {}

  private final Clock clock;

  /** Seconds after its last heartbeat for which a controller counts as live. */
  private final double livenessTimeoutS;

  /** Seconds between two reconnects to a controller that is not live. */
  private final double reconnectIntervalS;

  private final Map<String, LastHeartbeat> lastHeartbeats = new HashMap<>();

  /**
   * When the connection to each other controller was last renewed, in seconds of the monotonic
   * clock. The keys are all other controllers in the settings.
   */
  private final Map<String, Double> connectionRenewedAt = new HashMap<>();

  private int nextCandidateIndex;

  /** Creates a tracker that has received no heartbeat. */
  public PeerLiveness(Settings settings, Clock clock) {
    this.clock = clock;
    this.livenessTimeoutS = settings.workers().heartbeatIntervalS();
    this.reconnectIntervalS = settings.workers().heartbeatIntervalS();
    for (Settings.Member member : settings.members()) {
      connectionRenewedAt.put(member.node(), clock.now());
    }
  }

  /**
   * Records a heartbeat of another controller.
   *
   * @param node name of the sender
   * @param storeReachable whether the sender can reach the store
   * @param replicates whether the sender accepts replication frames; ignored unless it can reach
   *     the store
   */
  public void recordHeartbeat(String node, boolean storeReachable, boolean replicates) {
    boolean acceptsReplication = storeReachable ? replicates : acceptsReplication(node);
    lastHeartbeats.put(node, new LastHeartbeat(clock.now(), storeReachable, acceptsReplication));
  }

  /** Records that a controller has sent a replication frame: it accepts such frames as well. */
  public void recordReplicationAccepted(String node) {
    lastHeartbeats.computeIfPresent(
        node, (name, last) -> new LastHeartbeat(last.receivedAt, last.storeReachable, true));
  }

  /** Whether the controller accepts replication frames, according to its last report. */
  public boolean acceptsReplication(String node) {
    LastHeartbeat last = lastHeartbeats.get(node);
    return last != null && last.acceptsReplication;
  }

  /** Names of the live controllers that accept replication frames, sorted. */
  public List<String> liveReplicas() {
    return live().stream().filter(this::acceptsReplication).toList();
  }

  /** True once every other controller has sent a heartbeat to this process. */
  public boolean hasHeartbeatFromAll() {
    return lastHeartbeats.keySet().containsAll(connectionRenewedAt.keySet());
  }

  /** True if a heartbeat of the controller was received within the last heartbeat interval. */
  public boolean isLive(String node) {
    LastHeartbeat last = lastHeartbeats.get(node);
    return last != null && clock.now() - last.receivedAt < livenessTimeoutS;
  }

  /** True if another controller is live, or if there is no other one. */
  public boolean isAnyLive() {
    return connectionRenewedAt.isEmpty() || !live().isEmpty();
  }

  /** True if every other controller is live. */
  public boolean areAllLive() {
    return connectionRenewedAt.keySet().stream().allMatch(this::isLive);
  }

  /** Names of the live controllers, sorted; a copy. */
  public Set<String> live() {
    Set<String> live = new TreeSet<>();
    for (String node : lastHeartbeats.keySet()) {
      if (isLive(node)) {
        live.add(node);
      }
    }
    return live;
  }

  /** True if another controller is live and can reach the store. */
  public boolean isAnyReachingStore() {
    return !liveReachingStore().isEmpty();
  }

  /**
   * Name of a live controller that can reach the store, chosen round-robin; empty if there is none.
   */
  public Optional<String> nextReachingStore() {
    List<String> candidates = liveReachingStore();
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(nextCandidateIndex++ % candidates.size()));
  }

  private List<String> liveReachingStore() {
    return live().stream().filter(node -> lastHeartbeats.get(node).storeReachable).toList();
  }

  /**
   * Controllers whose connections are to be renewed now, since they may hang although a network
   * partition has ended. Each controller is returned at most once per heartbeat interval.
   */
  public List<String> takeConnectionsToRenew() {
    List<String> unresponsive = new ArrayList<>();
    for (Map.Entry<String, Double> renewal : connectionRenewedAt.entrySet()) {
      if (!isLive(renewal.getKey()) && clock.now() - renewal.getValue() > reconnectIntervalS) {
        renewal.setValue(clock.now());
        unresponsive.add(renewal.getKey());
      }
    }
    return unresponsive;
  }
}
