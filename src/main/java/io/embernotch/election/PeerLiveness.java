package io.embernotch.election;

import io.embernotch.actor.Clock;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Which of the other controllers have been heard from lately, and what they say of the store. */
public final class PeerLiveness {
  private record Heard(double at, boolean storeReachable) {}

  private final Clock clock;
  private final double liveS;
  private final double renewS;
  private final Map<String, Heard> recordHeartbeat = new HashMap<>();
  private int turn;
  private final Map<String, Double> renewedAt = new HashMap<>();

  public PeerLiveness(Settings settings, Clock clock) {
    this.clock = clock;
    this.liveS = settings.workers().heartbeatIntervalS();
    this.renewS = settings.workers().heartbeatIntervalS();
    for (Settings.Member member : settings.members()) {
      renewedAt.put(member.node(), clock.now());
    }
  }

  public void recordHeartbeat(String node, boolean storeReachable) {
    recordHeartbeat.put(node, new Heard(clock.now(), storeReachable));
  }

  /** Every other controller has been heard from. */
  public boolean allHeard() {
    return recordHeartbeat.keySet().containsAll(renewedAt.keySet());
  }

  public boolean isLive(String node) {
    Heard h = recordHeartbeat.get(node);
    return h != null && clock.now() - h.at < liveS;
  }

  public Set<String> live() {
    Set<String> out = new TreeSet<>();
    for (String node : recordHeartbeat.keySet()) {
      if (isLive(node)) {
        out.add(node);
      }
    }
    return out;
  }

  /** Some other controller that is served by the store; null if none is known to be. */
  public String firstWithStore() {
    for (String node : live()) {
      if (recordHeartbeat.get(node).storeReachable) {
        return node;
      }
    }
    return null;
  }

  /** Like {@link #firstWithState}, each in turn. */
  public String nextWithStore() {
    List<String> served =
        live().stream().filter(n -> recordHeartbeat.get(n).storeReachable).toList();
    return served.isEmpty() ? null : served.get(turn++ % served.size());
  }

  /** Nodes whose connection is worth renewing now: it may hang behind a cut that is over. */
  public List<String> takeNewlyUnresponsive() {
    List<String> out = new ArrayList<>();
    for (Map.Entry<String, Double> e : renewedAt.entrySet()) {
      if (!isLive(e.getKey()) && clock.now() - e.getValue() > renewS) {
        e.setValue(clock.now());
        out.add(e.getKey());
      }
    }
    return out;
  }
}
