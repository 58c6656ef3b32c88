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
import io.embernotch.store.RateLimiter.Rank;
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

/** The state service, paced under its limits. Futures fail with {@link StoreException} only. */
public final class StoreClient {
  /** Is told what shows that the service's contents are not the ones we knew. Called before the answer is. */
  public interface Witness {
    /** The revision fell from {@code seen} to {@code now}: data is lost. */
    void fell(long seen, long now);

    /** The key of our era is not there as we know it. */
    void fenced();
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
  private final IncarnationGuard lives = new IncarnationGuard();
  private Witness witness;
  private double answeredAt = -1e9;
  private double failingSince = -1;

  /** A reply, and what its request could assume. */
  private record Got(HttpReply reply, IncarnationGuard.Mark mark) {}

  public StoreClient(HttpCaller caller, Clock clock, Timers timers, Settings settings) {
    this.caller = caller;
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.requests = new RateLimiter(clock, timers, settings.stateFloor().rps() * FOLLOWING_REQUESTS, 0.5);
    this.writes = new RateLimiter(clock, timers, settings.stateFloor().writeRps() * FOLLOWING_SHARE, WRITE_BURST_S);
    this.timeoutS = settings.workers().reportS() / 2;
  }

  /** This controller is leader from now on, or no longer. */
  public void leading(boolean leads) {
    writes.rate(settings.stateFloor().writeRps() * (leads ? LEADING_SHARE : FOLLOWING_SHARE));
    requests.rate(settings.stateFloor().rps() * (leads ? LEADING_REQUESTS : FOLLOWING_REQUESTS));
  }

  public void witness(Witness w) {
    witness = w;
  }

  /** Every transaction conditions on this key from now on, unless it says that it belongs to no era. */
  public void fence(String key, long stamp) {
    lives.fence(key, stamp);
  }

  /** The contents that were known are no more: nothing that was asked of them is answered. */
  public void newLife() {
    lives.over();
  }

  /** Another controller wrote this key at this revision of the present contents. */
  public void told(String key, long epoch) {
    lives.wrote(new IncarnationGuard.Mark(0, 0), key, epoch);
  }

  /** The highest revision seen since the last loss. */
  public long seen() {
    return lives.seen();
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
    return send("GET", "/store/" + key, null, 0, Rank.USUAL, timeoutS)
        .compose(
            got ->
                switch (got.reply.status()) {
                  case 200 -> parsed(got, o -> entry(o), VersionedEntry::stamp, true);
                  case 404 -> parsed(got, o -> Json.whole(o, "epoch"), e -> e, false).map(e -> new VersionedEntry(key, null, 0));
                  default -> odd(got.reply);
                });
  }

  /**
   * Like {@link #get}; that a key is absent is said only if our era still stands after it was looked for.
   * New contents may have overtaken the revisions that this node has seen.
   */
  public Future<VersionedEntry> getSurely(String key) {
    return get(key)
        .compose(
            entry ->
                entry.present() || !lives.fenced()
                    ? Future.succeededFuture(entry)
                    : commit(new Transaction()).map(c -> entry));
  }

  /** Everything under a prefix, page by page, and the epoch of the first page. */
  public Future<WatchEvents> list(String prefix) {
    return listFrom(prefix, null, new ArrayList<>(), -1);
  }

  private Future<WatchEvents> listFrom(String prefix, String after, List<VersionedEntry> sofar, long firstEpoch) {
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
                        long epoch = firstEpoch >= 0 ? firstEpoch : Json.whole(o, "epoch");
                        if (Json.flagOr(o, "truncated", false) && !sofar.isEmpty()) {
                          return listFrom(prefix, sofar.get(sofar.size() - 1).key(), sofar, epoch);
                        }
                        return Future.succeededFuture(new WatchEvents(epoch, sofar));
                      });
            });
  }

  /** One page. One that fails is asked for again, so that what was read before it is not read anew. */
  private Future<Got> page(String path, int tries) {
    return send("GET", path, null, 0, Rank.FIRST, timeoutS * 2)
        .recover(e -> tries > 1 ? page(path, tries - 1) : Future.failedFuture(e));
  }

  public Future<TransactionResult> commit(Transaction txn) {
    return commit(txn, Rank.USUAL);
  }

  public Future<TransactionResult> commit(Transaction txn, Rank rank) {
    return answered(txn, send("POST", "/commit", lives.guard(txn).bytes(), txn.changes(), rank, timeoutS));
  }

  private Future<TransactionResult> answered(Transaction txn, Future<Got> sent) {
    return sent
        .compose(
            got ->
                switch (got.reply.status()) {
                  case 200 -> parsed(got, o -> new TransactionResult(true, Json.whole(o, "epoch"), Set.of()), TransactionResult::epoch, false)
                      .compose(c -> made(got, txn, c));
                  case 409 -> parsed(got, o -> new TransactionResult(false, Json.whole(o, "epoch"), failedKeys(o)), TransactionResult::epoch, false)
                      .compose(this::inOurEra);
                  case 400 -> new String(got.reply.body()).contains("no such lease")
                      ? Future.failedFuture(new StoreException(Kind.NO_LEASE, "no such lease"))
                      : Future.failedFuture(new StoreException(Kind.MALFORMED, new String(got.reply.body())));
                  default -> odd(got.reply);
                });
  }

  private Future<TransactionResult> made(Got got, Transaction txn, TransactionResult c) {
    return txn.lastKey() == null || lives.wrote(got.mark, txn.lastKey(), c.epoch())
        ? Future.succeededFuture(c)
        : fell(got.mark.least(), c.epoch());
  }

  private <T> Future<T> fell(long least, long epoch) {
    if (witness != null) {
      witness.fell(least, epoch);
    }
    return lost();
  }

  /**
   * Asks whether what was written lately, as far as we know, is still there, along with our era. Contents that
   * were put back may have reached the revisions that we have seen; the last keys they can't hold.
   *
   * @param key a key that tells whether anybody else may have written since: it is there at {@code stamp}
   * @return whether that key is as it was; it fails if data is lost
   */
  public Future<Boolean> stillThere(String key, long stamp) {
    Map<String, Long> written = new HashMap<>(lives.written());
    written.remove(key);
    Transaction txn = new Transaction().when(key, stamp);
    written.forEach(txn::when);
    return commit(txn)
        .compose(
            c -> {
              if (c.applied() || c.failed().contains(key)) {
                return Future.succeededFuture(c.applied());
              }
              return Future.all(c.failed().stream().map(k -> atLeast(k, written.get(k))).toList()).map(true);
            });
  }

  /** A write of ours whose answer is under way may have raised the stamp; nothing lowers it but a loss. */
  private Future<Boolean> atLeast(String key, long stamp) {
    return get(key)
        .compose(e -> e.present() && e.stamp() >= stamp ? Future.succeededFuture(true) : fell(stamp, e.stamp()));
  }

  private Future<TransactionResult> inOurEra(TransactionResult refused) {
    if (refused.failed().stream().noneMatch(lives::isFence)) {
      return Future.succeededFuture(refused);
    }
    if (witness != null) {
      witness.fenced();
    }
    return lost();
  }

  private static <T> Future<T> lost() {
    return Future.failedFuture(new StoreException(Kind.LOST, "another era, or data was lost"));
  }

  /**
   * Runs {@code go} when {@code least} changes may be made. What is written is decided only then, so
   * that what has become urgent meanwhile goes first.
   */
  public void turn(int least, Rank rank, Runnable go) {
    writes.pass(least, rank, go);
  }

  /** How many more changes than its turn gave may be made now; half a burst of them is spare. */
  public double credit() {
    return writes.credit();
  }

  /** Seconds that a change of usual rank would wait for its turn. */
  public double waitS() {
    return writes.waitS();
  }

  /** Seconds that a read would wait for its turn. */
  public double readWaitS() {
    return requests.waitS();
  }

  public boolean spare() {
    return writes.credit() >= settings.stateFloor().writeRps() * LEADING_SHARE * WRITE_BURST_S / 2;
  }

  /** Ends a turn of {@code least} changes that wrote {@code made}. */
  public void turnOver(int least, int made) {
    writes.giveBack(least - made);
  }

  /** Commits within a turn. */
  public Future<TransactionResult> commitInTurn(Transaction txn, Rank rank) {
    Promise<Got> promise = Promise.promise();
    lives.guard(txn);
    double until = clock.now() + timeoutS;
    // Its changes are paid for; if it is refused for being too many, it queues like any other.
    requests.pass(
        1, Rank.FIRST, () -> callOnce("POST", "/commit", txn.bytes(), txn.changes(), rank, until, promise));
    return answered(txn, promise.future());
  }

  public Future<Long> grant(double lifeS) {
    byte[] body = Json.bytes(Json.object().put("life_ms", Math.round(lifeS * 1000)));
    return send("POST", "/leases", body, 0, Rank.URGENT, timeoutS)
        .map(Got::reply)
        .compose(
            reply ->
                reply.status() == 200 ? Future.succeededFuture(Json.whole(reply.json(), "permit")) : odd(reply));
  }

  /** Whether a lease exists; if so, it is renewed by this. */
  public Future<Boolean> leaseThere(long permit) {
    return send("POST", "/leases/" + permit + "/extend", null, 0, Rank.USUAL, timeoutS)
        .map(Got::reply)
        .compose(r -> r.status() == 200 || r.status() == 404 ? Future.succeededFuture(r.status() == 200) : odd(r));
  }

  public Future<Void> revoke(long permit) {
    return send("DELETE", "/leases/" + permit, null, 0, Rank.URGENT, timeoutS).mapEmpty();
  }

  /** Waits until something under the prefix has changed after {@code epoch}, or the time is out. */
  public Future<WatchEvents> watch(String prefix, long epoch, double holdS) {
    String path =
        "/changes?starts=" + prefix + "&after=" + epoch + "&hold_ms=" + Math.round(holdS * 1000);
    return send("GET", path, null, 0, Rank.USUAL, holdS + timeoutS)
        .compose(
            got ->
                switch (got.reply.status()) {
                  case 200 -> parsed(got, StoreClient::changes, WatchEvents::epoch, false);
                  case 410 -> Future.failedFuture(new StoreException(Kind.TOO_OLD, "too old"));
                  default -> odd(got.reply);
                });
  }

  private Future<Got> send(
      String method, String path, byte[] body, int changes, Rank rank, double withinS) {
    Promise<Got> promise = Promise.promise();
    attempt(method, path, body, changes, rank, clock.now() + withinS, promise);
    return promise.future();
  }

  private void attempt(
      String method, String path, byte[] body, int changes, Rank rank, double until, Promise<Got> promise) {
    Runnable call = () -> callOnce(method, path, body, changes, rank, until, promise);
    requests.pass(1, rank, () -> writes.pass(changes, rank, call));
  }

  private void callOnce(
      String method, String path, byte[] body, int changes, Rank rank, double until, Promise<Got> promise) {
    double left = until - clock.now();
    if (left <= 0) {
      promise.fail(new StoreException(Kind.REFUSED, "not sent in time"));
      return;
    }
    IncarnationGuard.Mark mark = lives.mark();
    caller
        .call(method, settings.state(), path, body, left)
        .onSuccess(
            reply -> {
              if (reply.status() == THROTTLED) {
                // Not executed. Wait for some of a second's worth to come free, then try again.
                timers.after(0.1, () -> attempt(method, path, body, changes, rank, until, promise));
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
              boolean sent = !(e instanceof CallFailedException f) || f.sent;
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
  private <T> Future<T> parsed(Got got, Function<ObjectNode, T> read, ToLongFunction<T> epochOf, boolean atLeast) {
    T value;
    try {
      value = read.apply(got.reply.json());
    } catch (MalformedInputException e) {
      return Future.failedFuture(new StoreException(Kind.UNKNOWN, "unreadable answer: " + e.getMessage()));
    }
    if (!lives.isOf(got.mark)) {
      return lost();
    }
    long epoch = epochOf.applyAsLong(value);
    if (atLeast) {
      lives.saw(new IncarnationGuard.Mark(0, 0), epoch);
    } else if (!lives.saw(got.mark, epoch)) {
      return fell(got.mark.least(), epoch);
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
