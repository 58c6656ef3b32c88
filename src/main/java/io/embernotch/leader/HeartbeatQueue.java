package io.embernotch.leader;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.model.Heartbeat;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Handles agents' heartbeats in small batches, so that the event loop can do other work in between.
 * After a failover a thousand heartbeats arrive at once. Handled in one iteration of the loop, they
 * would delay the commits of live services, which need two iterations each, from 20 ms to 2.6 s.
 *
 * <p>If more heartbeats arrive than can be handled, only those are worth handling whose agents
 * still wait for a response. So the queue keeps only the last heartbeat of each machine, drops
 * heartbeats that are older than the agents' response timeout, and handles the newest first once
 * the oldest has been queued for long. In the order of arrival, each response would be just too
 * late: the 95th percentile of response times was 6.8 s, while agents wait for 4 s, and the leases
 * of those machines expired, which ended their tasks.
 */
public final class HeartbeatQueue {
  /** Maximum number of heartbeats handled in one iteration of the loop. */
  private static final int MAX_PER_ITERATION = 8;

  /** Seconds that an agent waits for the response to a heartbeat. */
  private static final double AGENT_RESPONSE_TIMEOUT_S = 4;

  /**
   * If the oldest heartbeat has been queued for longer, in seconds, the newest is handled first.
   */
  private static final double NEWEST_FIRST_AGE_S = AGENT_RESPONSE_TIMEOUT_S / 4;

  /**
   * If the oldest heartbeat has been queued for longer, in seconds, other work is to be reduced.
   */
  private static final double PRESSURE_AGE_S = NEWEST_FIRST_AGE_S / 4;

  private record Queued(LeaderMessage.HeartbeatReceived message, double queuedAt) {}

  private final Clock clock;
  private final Timers timers;
  private final Consumer<LeaderMessage.HeartbeatReceived> handler;
  private final Consumer<LeaderMessage.HeartbeatReceived> onDropped;

  /** Queued heartbeats by their position in the order of arrival. */
  private final TreeMap<Long, Queued> queue = new TreeMap<>();

  private final Map<String, Long> positionByMachine = new HashMap<>();
  private long lastPosition;
  private int remainingInIteration = MAX_PER_ITERATION;
  private boolean iterationScheduled;

  /**
   * Creates an empty queue.
   *
   * @param handler handles a heartbeat
   * @param onDropped receives the heartbeats that are dropped
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

  /**
   * Handles the heartbeat at once if this iteration of the loop has handled few, else queues it.
   */
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
      if (!message.heartbeat().isNewerThan(queued.agentEpoch(), queued.seq())) {
        // A late copy, or a heartbeat of another incarnation of the agent: it must not replace the
        // one that the agent awaits a response to.
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
      timers.after(TimerDelays.NEXT_ITERATION_S, this::runIteration);
    }
  }

  private void runIteration() {
    iterationScheduled = false;
    remainingInIteration = MAX_PER_ITERATION;
    double now = clock.now();
    while (!queue.isEmpty() && oldestQueuedForS(now) > AGENT_RESPONSE_TIMEOUT_S) {
      onDropped.accept(remove(queue.firstKey()));
    }
    if (queue.isEmpty()) {
      return;
    }
    scheduleIteration();
    boolean newestFirst = oldestQueuedForS(now) > NEWEST_FIRST_AGE_S;
    while (remainingInIteration > 0 && !queue.isEmpty()) {
      remainingInIteration--;
      handler.accept(remove(newestFirst ? queue.lastKey() : queue.firstKey()));
    }
  }

  /** True if the oldest heartbeat has been queued for so long that other work is to be reduced. */
  public boolean isUnderPressure() {
    return !queue.isEmpty() && oldestQueuedForS(clock.now()) > PRESSURE_AGE_S;
  }

  private double oldestQueuedForS(double now) {
    return now - queue.firstEntry().getValue().queuedAt;
  }

  private LeaderMessage.HeartbeatReceived remove(long position) {
    LeaderMessage.HeartbeatReceived message = queue.remove(position).message;
    positionByMachine.remove(message.heartbeat().machine());
    return message;
  }
}
