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

/** Which of the other controllers are live, and which of them the store answers. */
public final class PeerLiveness {
  private record LastHeartbeat(double at, boolean storeReachable, boolean replicates) {}

  private final Clock clock;

  /** Seconds after its last heartbeat for which a controller counts as live. */
  private final double liveS;

  /** Seconds between two renewals of the connection to a controller that is not live. */
  private final double renewS;

  private final Map<String, LastHeartbeat> lastHeartbeats = new HashMap<>();

  /** When each connection was last renewed, for all other controllers of the settings. */
  private final Map<String, Double> renewedAt = new HashMap<>();

  private int nextIndex;

  /** No heartbeat has been received yet. */
  public PeerLiveness(Settings settings, Clock clock) {
    this.clock = clock;
    this.liveS = settings.workers().heartbeatIntervalS();
    this.renewS = settings.workers().heartbeatIntervalS();
    for (Settings.Member member : settings.members()) {
      renewedAt.put(member.node(), clock.now());
    }
  }

  /**
   * A heartbeat has come.
   *
   * @param storeReachable whether the store answers the sender
   * @param replicates whether the sender takes the frames of replication; tells nothing unless the
   *     store answers the sender
   */
  public void recordHeartbeat(String node, boolean storeReachable, boolean replicates) {
    boolean stillReplicates = storeReachable ? replicates : replicates(node);
    lastHeartbeats.put(node, new LastHeartbeat(clock.now(), storeReachable, stillReplicates));
  }

  /** A frame of replication has come from a controller: it takes them too. */
  public void recordReplicates(String node) {
    lastHeartbeats.computeIfPresent(
        node, (name, last) -> new LastHeartbeat(last.at, last.storeReachable, true));
  }

  /** Whether the controller takes the frames of replication, by the last that it told of that. */
  public boolean replicates(String node) {
    LastHeartbeat last = lastHeartbeats.get(node);
    return last != null && last.replicates;
  }

  /** The live controllers that take the frames of replication, by name. */
  public List<String> liveReplicas() {
    return live().stream().filter(this::replicates).toList();
  }

  /** True once a heartbeat of every other controller has been received. */
  public boolean hasHeardFromAll() {
    return lastHeartbeats.keySet().containsAll(renewedAt.keySet());
  }

  /** True if a heartbeat of the controller was received within the last heartbeat interval. */
  public boolean isLive(String node) {
    LastHeartbeat last = lastHeartbeats.get(node);
    return last != null && clock.now() - last.at < liveS;
  }

  /** True if some other controller is live, or if there is no other. */
  public boolean hearsAny() {
    return renewedAt.isEmpty() || !live().isEmpty();
  }

  /** True if every other controller is live. */
  public boolean hearsAll() {
    return renewedAt.keySet().stream().allMatch(this::isLive);
  }

  /** The controllers that are live, by name; a copy. */
  public Set<String> live() {
    Set<String> live = new TreeSet<>();
    for (String node : lastHeartbeats.keySet()) {
      if (isLive(node)) {
        live.add(node);
      }
    }
    return live;
  }

  /** True if the store answers some other controller that is live. */
  public boolean anyReachesStore() {
    return !liveWithStore().isEmpty();
  }

  /** A live controller that the store answers, another one each time; empty if there is none. */
  public Optional<String> nextWithStore() {
    List<String> candidates = liveWithStore();
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(nextIndex++ % candidates.size()));
  }

  private List<String> liveWithStore() {
    return live().stream().filter(node -> lastHeartbeats.get(node).storeReachable).toList();
  }

  /**
   * Controllers whose connection is worth renewing now, since it may hang behind a network
   * partition that is over; each is returned once in a heartbeat interval.
   */
  public List<String> takeNewlyUnresponsive() {
    List<String> unresponsive = new ArrayList<>();
    for (Map.Entry<String, Double> renewal : renewedAt.entrySet()) {
      if (!isLive(renewal.getKey()) && clock.now() - renewal.getValue() > renewS) {
        renewal.setValue(clock.now());
        unresponsive.add(renewal.getKey());
      }
    }
    return unresponsive;
  }
}
