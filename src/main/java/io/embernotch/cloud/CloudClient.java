package io.embernotch.cloud;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.codec.CloudCodec;
import io.embernotch.codec.CloudCodec.ListedMachine;
import io.embernotch.http.HttpCaller;
import io.embernotch.http.HttpReply;
import io.embernotch.model.MachineType;
import io.embernotch.settings.Settings;
import io.embernotch.store.RateLimiter;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Calls the cloud below its rate limit. A failed future means that it is not known whether the
 * request was executed.
 */
public final class CloudClient {
  private static final int PAGE_SIZE = 500;

  /** Share of the cloud's rate limit that is used. */
  private static final double RATE_SHARE = 0.8;

  private static final double BURST_S = 1;

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  /** Distinguishes a refusal for lack of capacity from an outage, which has the same status. */
  private static final String CAPACITY_ERROR = "capacity";

  /**
   * The answer to a rental request.
   *
   * @param refused whether the cloud has no capacity left
   * @param machines names of the rented machines, possibly fewer than were asked for
   */
  public record Rented(boolean refused, List<String> machines) {}

  private final HttpCaller caller;
  private final Settings settings;
  private final RateLimiter rateLimiter;
  private final double timeoutS;

  /** A client for the cloud that the settings name. */
  public CloudClient(HttpCaller caller, Clock clock, Timers timers, Settings settings) {
    this.caller = caller;
    this.settings = settings;
    this.rateLimiter =
        new RateLimiter(clock, timers, settings.cloudLimits().rps() * RATE_SHARE, BURST_S);
    this.timeoutS = settings.workers().heartbeatIntervalS();
  }

  /** The machine types that the cloud offers, with their present prices. */
  public Future<List<MachineType>> types() {
    return send("GET", "/machine_types", null, RequestPriority.NORMAL)
        .compose(reply -> read(reply, () -> CloudCodec.readTypes(reply.json())));
  }

  /**
   * Rents machines.
   *
   * @param booking idempotency key: repeated, it gives the same answer and rents nothing more
   * @param type name of the machine type
   * @param zone zone to rent in
   * @param spot whether to rent spot machines
   * @param number how many, at most {@link Settings.CloudLimits#MAX_RENT}
   */
  public Future<Rented> rent(String booking, String type, String zone, boolean spot, int number) {
    byte[] body = CloudCodec.rentRequest(booking, type, zone, spot, number);
    return send("POST", "/machines", body, RequestPriority.NORMAL)
        .compose(
            reply ->
                refusedForCapacity(reply)
                    ? Future.succeededFuture(new Rented(true, List.of()))
                    : read(reply, () -> new Rented(false, CloudCodec.readRented(reply.json()))));
  }

  private static boolean refusedForCapacity(HttpReply reply) {
    return reply.status() == UNAVAILABLE
        && new String(reply.body(), StandardCharsets.UTF_8).contains(CAPACITY_ERROR);
  }

  /**
   * Deletes machines. Success proves that they and all that was on them are gone.
   *
   * @param names names of the machines, at most {@link Settings.CloudLimits#MAX_DELETE}
   * @param urgent whether the request goes before others
   */
  public Future<Void> delete(List<String> names, boolean urgent) {
    return send(
            "POST",
            "/machines/delete",
            CloudCodec.deleteRequest(names),
            urgent ? RequestPriority.HIGH : RequestPriority.BACKGROUND)
        .compose(reply -> reply.status() == OK ? Future.succeededFuture() : unexpected(reply));
  }

  /** All machines in the cloud's list, which lags behind. */
  public Future<List<ListedMachine>> list() {
    return listFrom(null, new ArrayList<>());
  }

  private Future<List<ListedMachine>> listFrom(String after, List<ListedMachine> listed) {
    String path =
        "/machines?" + (after == null ? "" : "after=" + after + "&") + "page=" + PAGE_SIZE;
    return send("GET", path, null, RequestPriority.NORMAL)
        .compose(reply -> read(reply, () -> CloudCodec.readPage(reply.json())))
        .compose(
            page -> {
              listed.addAll(page.machines());
              boolean more = page.more() && !page.machines().isEmpty();
              return more
                  ? listFrom(listed.get(listed.size() - 1).name(), listed)
                  : Future.succeededFuture(listed);
            });
  }

  private Future<HttpReply> send(
      String method, String path, byte[] body, RequestPriority priority) {
    Promise<HttpReply> promise = Promise.promise();
    rateLimiter.acquire(
        1,
        priority,
        () ->
            caller.call(method, settings.cloudAddress(), path, body, timeoutS).onComplete(promise));
    return promise.future();
  }

  private static <T> Future<T> read(HttpReply reply, Supplier<T> reader) {
    if (reply.status() != OK) {
      return unexpected(reply);
    }
    try {
      return Future.succeededFuture(reader.get());
    } catch (RuntimeException e) {
      // Whatever is wrong with a reply, the outcome of its request is unknown.
      return Future.failedFuture("unreadable answer: " + e.getMessage());
    }
  }

  private static <T> Future<T> unexpected(HttpReply reply) {
    return Future.failedFuture(
        "answer " + reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8));
  }
}
