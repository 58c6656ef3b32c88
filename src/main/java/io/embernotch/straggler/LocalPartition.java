package io.embernotch.straggler;

import io.embernotch.actor.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A controller's partition: the latest view of each machine in it, as the leader streams them. The
 * views of an earlier leader, and those that are not renewed, are dropped. Core loop only.
 */
public final class LocalPartition {
  private record ReceivedView(MachineView view, double receivedAt) {}

  private final Clock clock;
  private final double expiryS;
  private final Map<String, ReceivedView> views = new HashMap<>();
  private long epoch;

  /**
   * @param expiryS seconds after which a view that is not renewed is dropped
   */
  public LocalPartition(Clock clock, double expiryS) {
    this.clock = clock;
    this.expiryS = expiryS;
  }

  /** Takes a view; those of an earlier leader than the latest known are ignored. */
  public void put(long leaderEpoch, MachineView view) {
    if (leaderEpoch < epoch) {
      return;
    }
    if (leaderEpoch > epoch) {
      epoch = leaderEpoch;
      views.clear();
    }
    views.put(view.machine(), new ReceivedView(view, clock.now()));
  }

  /** Drops the view of a machine, unless another leader than the latest known says so. */
  public void remove(long leaderEpoch, String machine) {
    if (leaderEpoch == epoch) {
      views.remove(machine);
    }
  }

  /** Epoch of the leader whose views these are; 0 before the first. */
  public long epoch() {
    return epoch;
  }

  /** Number of machines in the partition. */
  public int size() {
    return views.size();
  }

  /** The partition now: run times have gone on since each view was made. */
  public List<MachineView> current() {
    double now = clock.now();
    views.values().removeIf(received -> now - received.receivedAt > expiryS);
    List<MachineView> current = new ArrayList<>();
    for (ReceivedView received : views.values()) {
      current.add(received.view.agedBy(now - received.receivedAt));
    }
    return current;
  }
}
