package io.embernotch.forwarding;

import io.embernotch.actor.Timers;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Heartbeat;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Holds heartbeats, with their agents waiting for the response, until a leader is known. The
 * leader's response then renews the lease from the sending of the parked heartbeat. After a timeout
 * an agent gets a response that renews no lease, and keeps this controller.
 */
final class ParkedHeartbeats {
  /** A parked heartbeat. Compared by identity, since comparing a long heartbeat is costly. */
  private static final class ParkedHeartbeat {
    final Heartbeat heartbeat;
    final Promise<HttpResponse> response = Promise.promise();

    ParkedHeartbeat(Heartbeat heartbeat) {
      this.heartbeat = heartbeat;
    }
  }

  private final Timers timers;
  private final double timeoutS;
  private final Set<ParkedHeartbeat> parked = new LinkedHashSet<>();

  ParkedHeartbeats(Timers timers, double timeoutS) {
    this.timers = timers;
    this.timeoutS = timeoutS;
  }

  /**
   * Parks a heartbeat.
   *
   * @return the response, which completes after the heartbeat is released or the timeout has passed
   */
  Future<HttpResponse> park(Heartbeat heartbeat) {
    ParkedHeartbeat entry = new ParkedHeartbeat(heartbeat);
    parked.add(entry);
    timers.after(
        timeoutS,
        () -> {
          if (parked.remove(entry)) {
            entry.response.complete(HeartbeatResponses.withoutRenewal());
          }
        });
    return entry.response.future();
  }

  /** The names of the machines whose heartbeats are parked. */
  Set<String> machines() {
    return parked.stream().map(entry -> entry.heartbeat.machine()).collect(Collectors.toSet());
  }

  /** Answers all parked heartbeats with {@code handler}, and removes them. */
  void release(Function<Heartbeat, Future<HttpResponse>> handler) {
    List<ParkedHeartbeat> released = List.copyOf(parked);
    parked.clear();
    released.forEach(entry -> handler.apply(entry.heartbeat).onSuccess(entry.response::complete));
  }
}
