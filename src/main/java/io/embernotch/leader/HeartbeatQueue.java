package io.embernotch.leader;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.model.Heartbeat;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Handles agents' heartbeats a few at a time, and lets the loop do everything else in between.
 * After a failover a thousand come at once; handled in one iteration of the loop, they would delay
 * the commits of live services, which need two iterations each, from 20 ms to 2.6 s.
 *
 * <p>Where more come than can be handled, only what its agent still waits for is worth handling: of
 * a machine the last one, none that is older than its agent's patience, and the youngest first once
 * they are queued for long. Handled in the order they came, each would be answered just too late:
 * the 95th percentile of answers was 6.8 s where agents wait for 4, and tasks on those machines
 * ended with their lease.
 */
public final class HeartbeatQueue {
  /** Heartbeats handled in one iteration of the loop. */
  private static final int MAX_PER_ITERATION = 8;

  /** Seconds that an agent waits for an answer ("Workers"). */
  private static final double AGENT_PATIENCE_S = 4;

  /** Seconds that the oldest is queued from which on the youngest heartbeat goes first. */
  private static final double OVERLOADED_S = AGENT_PATIENCE_S / 4;

  /** Seconds that the oldest is queued from which on other work is to make room. */
  private static final double PRESSURE_S = OVERLOADED_S / 4;

  private record Queued(LeaderMessage.HeartbeatReceived message, double since) {}

  private final Clock clock;
  private final Timers timers;
  private final Consumer<LeaderMessage.HeartbeatReceived> handler;
  private final Consumer<LeaderMessage.HeartbeatReceived> onDropped;

  /** By position: in the order they came. */
  private final TreeMap<Long, Queued> queue = new TreeMap<>();

  private final Map<String, Long> positionByMachine = new HashMap<>();
  private long lastPosition;
  private int remainingInIteration = MAX_PER_ITERATION;
  private boolean iterationScheduled;

  /**
   * An empty queue.
   *
   * @param handler handles a heartbeat
   * @param onDropped gets the heartbeats that nobody waits for any more
   */
  public HeartbeatQueue(
      Clock clock,
      Timers timers,
      Consumer<LeaderMessage.HeartbeatReceived> handler,
      Consumer<LeaderMessage.HeartbeatReceived> onDropped) {
    this.clock = clock;
    this.timers = timers;
    this.handler = handler;
    this.onDropped = onDropped;
  }

  /** Handles the heartbeat now if few were in this iteration of the loop, else queues it. */
  public void add(LeaderMessage.HeartbeatReceived message) {
    if (remainingInIteration > 0 && queue.isEmpty()) {
      remainingInIteration--;
      scheduleIteration();
      handler.accept(message);
      return;
    }
    String machine = message.heartbeat().machine();
    Long position = positionByMachine.get(machine);
    if (position != null) {
      Heartbeat queued = queue.get(position).message.heartbeat();
      if (!message.heartbeat().newerThan(queued.agentEpoch(), queued.seq())) {
        // A copy that came late, or one of another incarnation of the agent: it must not displace
        // the one whose answer is waited for.
        onDropped.accept(message);
        return;
      }
      onDropped.accept(remove(position));
    }
    queue.put(++lastPosition, new Queued(message, clock.now()));
    positionByMachine.put(machine, lastPosition);
  }

  private void scheduleIteration() {
    if (!iterationScheduled) {
      iterationScheduled = true;
      timers.after(Timing.NEXT_ITERATION_S, this::runIteration);
    }
  }

  private void runIteration() {
    iterationScheduled = false;
    remainingInIteration = MAX_PER_ITERATION;
    double now = clock.now();
    while (!queue.isEmpty() && oldestQueuedForS(now) > AGENT_PATIENCE_S) {
      onDropped.accept(remove(queue.firstKey()));
    }
    if (queue.isEmpty()) {
      return;
    }
    scheduleIteration();
    boolean overloaded = oldestQueuedForS(now) > OVERLOADED_S;
    while (remainingInIteration > 0 && !queue.isEmpty()) {
      remainingInIteration--;
      handler.accept(remove(overloaded ? queue.lastKey() : queue.firstKey()));
    }
  }

  /** True if heartbeats are queued for longer than an agent would notice. */
  public boolean isUnderPressure() {
    return !queue.isEmpty() && oldestQueuedForS(clock.now()) > PRESSURE_S;
  }

  private double oldestQueuedForS(double now) {
    return now - queue.firstEntry().getValue().since;
  }

  private LeaderMessage.HeartbeatReceived remove(long position) {
    LeaderMessage.HeartbeatReceived message = queue.remove(position).message;
    positionByMachine.remove(message.heartbeat().machine());
    return message;
  }
}
