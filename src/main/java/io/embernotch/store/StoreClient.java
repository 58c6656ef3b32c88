package io.embernotch.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.Json;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpCaller;
import io.embernotch.http.HttpReply;
import io.embernotch.settings.Settings;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreException.Kind;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/** The store, paced under its limits. Futures fail with {@link StoreException} only. */
public final class StoreClient {
  /** Is told what shows that the service's contents are not the ones we knew. Called before the answer is. */
  public interface LossListener {
    /** The revision fell from {@code seen} to {@code now}: data is lost. */
    void revisionFell(long seen, long now);

    /** The key of our incarnation is not there as we know it. */
    void fenceFailed();
  }

  /**
   * Shares of the requests that the service takes. They add up to less than all, since leases go
   * beyond them. When each controller took 0.7 of them, polls that three controllers read from the
   * store while nobody was leader had 1,500 requests refused on one simulated day.
   */
  private static final double LEADING_REQUESTS = 0.5;

  private static final double FOLLOWING_REQUESTS = 0.2;

  /**
   * The leader writes most; the others only the submissions that they take. The shares of three
   * controllers add up to the limit: beyond it the service refuses everything, leases included, and
   * trying again is what keeps it there.
   */
  private static final double LEADING_SHARE = 0.7;

  private static final double FOLLOWING_SHARE = 0.15;

  /**
   * The service allows bursts of a second's worth. The bursts of all controllers together stay below
   * that, with something for the leases, which go at once.
   */
  private static final double WRITE_BURST_S = 0.9;

  private static final int PAGE = 1000;
  private static final int PAGE_TRIES = 3;
  private static final int THROTTLED = 429;

  private final HttpCaller caller;
  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private final double timeoutS;
  private final IncarnationGuard guard = new IncarnationGuard();
  private LossListener setLossListener;
  private double answeredAt = -1e9;
  private double failingSince = -1;

  /** A reply, and what its request could assume. */
  private record Got(HttpReply reply, IncarnationGuard.Mark mark) {}

  public StoreClient(HttpCaller caller, Clock clock, Timers timers, Settings settings) {
    this.caller = caller;
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.requests = new RateLimiter(clock, timers, settings.minStoreLimits().rps() * FOLLOWING_REQUESTS, 0.5);
    this.writes = new RateLimiter(clock, timers, settings.minStoreLimits().writeRps() * FOLLOWING_SHARE, WRITE_BURST_S);
    this.timeoutS = settings.workers().heartbeatIntervalS() / 2;
  }

  /** This controller is leader from now on, or no longer. */
  public void setLeading(boolean leads) {
    writes.setRate(settings.minStoreLimits().writeRps() * (leads ? LEADING_SHARE : FOLLOWING_SHARE));
    requests.setRate(settings.minStoreLimits().rps() * (leads ? LEADING_REQUESTS : FOLLOWING_REQUESTS));
  }

  public void setLossListener(LossListener w) {
    setLossListener = w;
  }

  /** Every transaction conditions on this key from now on, unless it says that it belongs to no incarnation. */
  public void setFence(String key, long modRevision) {
    guard.fence(key, modRevision);
  }

  /** The contents that were known are no more: nothing that was asked of them is answered. */
  public void discardIncarnation() {
    guard.discard();
  }

  /** Another controller wrote this key at this revision of the present contents. */
  public void noteRevision(String key, long revision) {
    guard.recordWrite(new IncarnationGuard.Mark(0, 0), key, revision);
  }

  /** The highest revision seen since the last loss. */
  public long highestRevisionSeen() {
    return guard.highestRevision();
  }

  /** When the service last answered anything but a refusal. */
  public double answeredAt() {
    return answeredAt;
  }

  /** Seconds for which it has refused or not answered, 0 if its last answer was good. */
  public double failingForS() {
    return failingSince < 0 ? 0 : clock.now() - failingSince;
  }

  public Future<VersionedEntry> get(String key) {
    return send("GET", "/store/" + key, null, 0, RequestPriority.NORMAL, timeoutS)
        .compose(
            got ->
                switch (got.reply.status()) {
                  case 200 -> parsed(got, o -> entry(o), VersionedEntry::modRevision, true);
                  case 404 -> parsed(got, o -> Json.whole(o, "epoch"), e -> e, false).map(e -> new VersionedEntry(key, null, 0));
                  default -> odd(got.reply);
                });
  }

  /**
   * Like {@link #get}; that a key is absent is said only if our incarnation still stands after it was looked for.
   * New contents may have overtaken the revisions that this node has seen.
   */
  public Future<VersionedEntry> getConfirmed(String key) {
    return get(key)
        .compose(
            entry ->
                entry.present() || !guard.fenced()
                    ? Future.succeededFuture(entry)
                    : commit(new Transaction()).map(result -> entry));
  }

  /** Everything under a prefix, page by page, and the epoch of the first page. */
  public Future<WatchEvents> list(String prefix) {
    return listFrom(prefix, null, new ArrayList<>(), -1);
  }

  private Future<WatchEvents> listFrom(String prefix, String after, List<VersionedEntry> sofar, long firstRevision) {
    String path = "/store?starts=" + prefix + (after == null ? "" : "&after=" + after) + "&page=" + PAGE;
    return page(path, PAGE_TRIES)
        .compose(
            got -> {
              if (got.reply.status() != 200) {
                return odd(got.reply);
              }
              return parsed(got, o -> o, o -> Json.whole(o, "epoch"), false)
                  .compose(
                      o -> {
                        for (JsonNode p : Json.need(o, "pairs")) {
                          sofar.add(entry((ObjectNode) p));
                        }
                        long revision = firstRevision >= 0 ? firstRevision : Json.whole(o, "epoch");
                        if (Json.flagOr(o, "truncated", false) && !sofar.isEmpty()) {
                          return listFrom(prefix, sofar.get(sofar.size() - 1).key(), sofar, revision);
                        }
                        return Future.succeededFuture(new WatchEvents(revision, sofar));
                      });
            });
  }

  /** One page. One that fails is asked for again, so that what was read before it is not read anew. */
  private Future<Got> page(String path, int tries) {
    return send("GET", path, null, 0, RequestPriority.HIGH, timeoutS * 2)
        .recover(e -> tries > 1 ? page(path, tries - 1) : Future.failedFuture(e));
  }

  public Future<TransactionResult> commit(Transaction txn) {
    return commit(txn, RequestPriority.NORMAL);
  }

  public Future<TransactionResult> commit(Transaction txn, RequestPriority priority) {
    return answered(txn, send("POST", "/commit", guard.guard(txn).bytes(), txn.changes(), priority, timeoutS));
  }

  private Future<TransactionResult> answered(Transaction txn, Future<Got> sent) {
    return sent
        .compose(
            got ->
                switch (got.reply.status()) {
                  case 200 -> parsed(got, o -> new TransactionResult(true, Json.whole(o, "epoch"), Set.of()), TransactionResult::revision, false)
                      .compose(result -> made(got, txn, result));
                  case 409 -> parsed(got, o -> new TransactionResult(false, Json.whole(o, "epoch"), failedKeys(o)), TransactionResult::revision, false)
                      .compose(this::inOurIncarnation);
                  case 400 -> new String(got.reply.body()).contains("no such lease")
                      ? Future.failedFuture(new StoreException(Kind.NO_LEASE, "no such lease"))
                      : Future.failedFuture(new StoreException(Kind.MALFORMED, new String(got.reply.body())));
                  default -> odd(got.reply);
                });
  }

  private Future<TransactionResult> made(Got got, Transaction txn, TransactionResult result) {
    return txn.lastKey() == null || guard.recordWrite(got.mark, txn.lastKey(), result.revision())
        ? Future.succeededFuture(result)
        : fell(got.mark.least(), result.revision());
  }

  private <T> Future<T> fell(long least, long revision) {
    if (setLossListener != null) {
      setLossListener.revisionFell(least, revision);
    }
    return lost();
  }

  /**
   * Asks whether what was written lately, as far as we know, is still there, along with our incarnation. Contents that
   * were put back may have reached the revisions that we have seen; the last keys they can't hold.
   *
   * @param key a key that tells whether anybody else may have written since: it is there at {@code modification revision}
   * @return whether that key is as it was; it fails if data is lost
   */
  public Future<Boolean> verifyUnchanged(String key, long modRevision) {
    Map<String, Long> written = new HashMap<>(guard.written());
    written.remove(key);
    Transaction txn = new Transaction().when(key, modRevision);
    written.forEach(txn::when);
    return commit(txn)
        .compose(
            result -> {
              if (result.applied() || result.conflicts().contains(key)) {
                return Future.succeededFuture(result.applied());
              }
              return Future.all(result.conflicts().stream().map(k -> atLeast(k, written.get(k))).toList()).map(true);
            });
  }

  /** A write of ours whose answer is under way may have raised the modification revision; nothing lowers it but a loss. */
  private Future<Boolean> atLeast(String key, long modRevision) {
    return get(key)
        .compose(entry -> entry.present() && entry.modRevision() >= modRevision ? Future.succeededFuture(true) : fell(modRevision, entry.modRevision()));
  }

  private Future<TransactionResult> inOurIncarnation(TransactionResult refused) {
    if (refused.conflicts().stream().noneMatch(guard::isFence)) {
      return Future.succeededFuture(refused);
    }
    if (setLossListener != null) {
      setLossListener.fenceFailed();
    }
    return lost();
  }

  private static <T> Future<T> lost() {
    return Future.failedFuture(new StoreException(Kind.LOST, "another store incarnation, or data was lost"));
  }

  /**
   * Runs {@code go} when {@code least} changes may be made. What is written is decided only then, so
   * that what has become urgent meanwhile goes first.
   */
  public void requestWriteSlot(int least, RequestPriority priority, Runnable go) {
    writes.acquire(least, priority, go);
  }

  /** How many more changes than its turn gave may be made now; half a burst of them is spare. */
  public double writeCredit() {
    return writes.available();
  }

  /** Seconds that a change of usual rank would wait for its turn. */
  public double writeWaitS() {
    return writes.waitS();
  }

  /** Seconds that a read would wait for its turn. */
  public double readWaitS() {
    return requests.waitS();
  }

  public boolean hasSpareWrites() {
    return writes.available() >= settings.minStoreLimits().writeRps() * LEADING_SHARE * WRITE_BURST_S / 2;
  }

  /** Ends a turn of {@code least} changes that wrote {@code made}. */
  public void releaseWriteSlot(int least, int made) {
    writes.refund(least - made);
  }

  /** Commits within a turn. */
  public Future<TransactionResult> commitInWriteSlot(Transaction txn, RequestPriority priority) {
    Promise<Got> promise = Promise.promise();
    guard.guard(txn);
    double until = clock.now() + timeoutS;
    // Its changes are paid for; if it is refused for being too many, it queues like any other.
    requests.acquire(
        1, RequestPriority.HIGH, () -> callOnce("POST", "/commit", txn.bytes(), txn.changes(), priority, until, promise));
    return answered(txn, promise.future());
  }

  public Future<Long> grant(double leaseTtlS) {
    byte[] body = Json.bytes(Json.object().put("life_ms", Math.round(leaseTtlS * 1000)));
    return send("POST", "/leases", body, 0, RequestPriority.URGENT, timeoutS)
        .map(Got::reply)
        .compose(
            reply ->
                reply.status() == 200 ? Future.succeededFuture(Json.whole(reply.json(), "permit")) : odd(reply));
  }

  /** Whether a lease exists; if so, it is renewed by this. */
  public Future<Boolean> renewIfPresent(long leaseId) {
    return send("POST", "/leases/" + leaseId + "/extend", null, 0, RequestPriority.NORMAL, timeoutS)
        .map(Got::reply)
        .compose(r -> r.status() == 200 || r.status() == 404 ? Future.succeededFuture(r.status() == 200) : odd(r));
  }

  public Future<Void> revoke(long leaseId) {
    return send("DELETE", "/leases/" + leaseId, null, 0, RequestPriority.URGENT, timeoutS).mapEmpty();
  }

  /** Waits until something under the prefix has changed after {@code epoch}, or the time is out. */
  public Future<WatchEvents> watch(String prefix, long revision, double longPollS) {
    String path =
        "/changes?starts=" + prefix + "&after=" + revision + "&hold_ms=" + Math.round(longPollS * 1000);
    return send("GET", path, null, 0, RequestPriority.NORMAL, longPollS + timeoutS)
        .compose(
            got ->
                switch (got.reply.status()) {
                  case 200 -> parsed(got, StoreClient::changes, WatchEvents::revision, false);
                  case 410 -> Future.failedFuture(new StoreException(Kind.TOO_OLD, "too old"));
                  default -> odd(got.reply);
                });
  }

  private Future<Got> send(
      String method, String path, byte[] body, int changes, RequestPriority priority, double withinS) {
    Promise<Got> promise = Promise.promise();
    attempt(method, path, body, changes, priority, clock.now() + withinS, promise);
    return promise.future();
  }

  private void attempt(
      String method, String path, byte[] body, int changes, RequestPriority priority, double until, Promise<Got> promise) {
    Runnable call = () -> callOnce(method, path, body, changes, priority, until, promise);
    requests.acquire(1, priority, () -> writes.acquire(changes, priority, call));
  }

  private void callOnce(
      String method, String path, byte[] body, int changes, RequestPriority priority, double until, Promise<Got> promise) {
    double left = until - clock.now();
    if (left <= 0) {
      promise.fail(new StoreException(Kind.REFUSED, "not sent in time"));
      return;
    }
    IncarnationGuard.Mark mark = guard.mark();
    caller
        .call(method, settings.storeAddress(), path, body, left)
        .onSuccess(
            reply -> {
              if (reply.status() == THROTTLED) {
                // Not executed. Wait for some of a second's worth to come free, then try again.
                timers.after(0.1, () -> attempt(method, path, body, changes, priority, until, promise));
              } else if (reply.status() == 503) {
                failing();
                promise.fail(new StoreException(Kind.REFUSED, "state service answers 503"));
              } else {
                answeredAt = clock.now();
                failingSince = -1;
                promise.complete(new Got(reply, mark));
              }
            })
        .onFailure(
            e -> {
              failing();
              boolean sent = !(e instanceof CallFailedException f) || f.sent();
              promise.fail(new StoreException(sent ? Kind.UNKNOWN : Kind.REFUSED, e.getMessage()));
            });
  }

  private void failing() {
    if (failingSince < 0) {
      failingSince = clock.now();
    }
  }

  /**
   * @param epochOf the revision that the answer shows; {@code atLeast}: it shows one that the present one
   *     is not below, so a low one proves nothing
   */
  private <T> Future<T> parsed(Got got, Function<ObjectNode, T> read, ToLongFunction<T> revisionOf, boolean atLeast) {
    T value;
    try {
      value = read.apply(got.reply.json());
    } catch (MalformedInputException e) {
      return Future.failedFuture(new StoreException(Kind.UNKNOWN, "unreadable answer: " + e.getMessage()));
    }
    if (!guard.isOf(got.mark)) {
      return lost();
    }
    long revision = revisionOf.applyAsLong(value);
    if (atLeast) {
      guard.observe(new IncarnationGuard.Mark(0, 0), revision);
    } else if (!guard.observe(got.mark, revision)) {
      return fell(got.mark.least(), revision);
    }
    return Future.succeededFuture(value);
  }

  private static <T> Future<T> odd(HttpReply reply) {
    return Future.failedFuture(
        new StoreException(Kind.UNKNOWN, "answer " + reply.status() + " " + new String(reply.body())));
  }

  private static VersionedEntry entry(ObjectNode o) {
    JsonNode v = Json.opt(o, "v");
    return new VersionedEntry(Json.text(o, "key"), v == null ? null : (ObjectNode) v, Json.whole(o, "stamp"));
  }

  private static Set<String> failedKeys(ObjectNode o) {
    Set<String> out = new HashSet<>();
    for (JsonNode n : Json.need(o, "failed")) {
      out.add(n.asText());
    }
    return out;
  }

  private static WatchEvents changes(ObjectNode o) {
    List<VersionedEntry> out = new ArrayList<>();
    for (JsonNode e : Json.need(o, "events")) {
      JsonNode drop = Json.opt(e, "drop");
      if (drop != null) {
        out.add(new VersionedEntry(drop.asText(), null, Json.whole(e, "stamp")));
      } else {
        JsonNode v = Json.opt(e, "v");
        out.add(new VersionedEntry(Json.text(e, "write"), v instanceof ObjectNode n ? n : null, Json.whole(e, "stamp")));
      }
    }
    return new WatchEvents(Json.whole(o, "epoch"), out);
  }
}
