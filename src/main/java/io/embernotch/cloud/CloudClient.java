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
import java.util.ArrayList;
import java.util.List;

/** The cloud, paced under its limit. A failed future means that it is not known what was done. */
public final class CloudClient {
  private static final int PAGE = 500;

  /** The answer to a rental request: {@code refused} means that no capacity is left. */
  public record Rented(boolean refused, List<String> machines) {}

  private final HttpCaller caller;
  private final Settings settings;
  private final RateLimiter pacer;
  private final double timeoutS;

  public CloudClient(HttpCaller caller, Clock clock, Timers timers, Settings settings) {
    this.caller = caller;
    this.settings = settings;
    this.pacer = new RateLimiter(clock, timers, settings.cloudLimits().rps() * 0.8, 1);
    this.timeoutS = settings.workers().heartbeatIntervalS();
  }

  public Future<List<MachineType>> types() {
    return send("GET", "/machine_types", null, RequestPriority.NORMAL)
        .compose(
            reply ->
                reply.status() == 200
                    ? read(() -> CloudCodec.readTypes(reply.json()))
                    : odd(reply));
  }

  public Future<Rented> rent(String booking, String type, String zone, boolean spot, int number) {
    return send(
            "POST",
            "/machines",
            CloudCodec.rentRequest(booking, type, zone, spot, number),
            RequestPriority.NORMAL)
        .compose(
            reply -> {
              if (reply.status() == 200) {
                return read(() -> new Rented(false, CloudCodec.readRented(reply.json())));
              }
              // "trouble" is an outage and says nothing of capacity.
              boolean full = reply.status() == 503 && new String(reply.body()).contains("capacity");
              return full ? Future.succeededFuture(new Rented(true, List.of())) : odd(reply);
            });
  }

  public Future<Void> delete(List<String> names, boolean urgent) {
    return send(
            "POST",
            "/machines/delete",
            CloudCodec.deleteRequest(names),
            urgent ? RequestPriority.HIGH : RequestPriority.BACKGROUND)
        .compose(reply -> reply.status() == 200 ? Future.succeededFuture() : odd(reply));
  }

  public Future<List<ListedMachine>> list() {
    return listFrom(null, new ArrayList<>());
  }

  private Future<List<ListedMachine>> listFrom(String after, List<ListedMachine> collected) {
    String path = "/machines?" + (after == null ? "" : "after=" + after + "&") + "page=" + PAGE;
    return send("GET", path, null, RequestPriority.NORMAL)
        .compose(
            reply ->
                reply.status() == 200 ? read(() -> CloudCodec.readPage(reply.json())) : odd(reply))
        .compose(
            page -> {
              collected.addAll(page.machines());
              boolean more = page.more() && !page.machines().isEmpty();
              return more
                  ? listFrom(collected.get(collected.size() - 1).name(), collected)
                  : Future.succeededFuture(collected);
            });
  }

  private Future<HttpReply> send(
      String method, String path, byte[] body, RequestPriority priority) {
    Promise<HttpReply> promise = Promise.promise();
    pacer.acquire(
        1,
        priority,
        () ->
            caller.call(method, settings.cloudAddress(), path, body, timeoutS).onComplete(promise));
    return promise.future();
  }

  private interface Reader<T> {
    T read();
  }

  private static <T> Future<T> read(Reader<T> reader) {
    try {
      return Future.succeededFuture(reader.read());
    } catch (RuntimeException e) {
      return Future.failedFuture("unreadable answer: " + e.getMessage());
    }
  }

  private static <T> Future<T> odd(HttpReply reply) {
    return Future.failedFuture("answer " + reply.status() + " " + new String(reply.body()));
  }
}
