package io.embernotch.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpReply;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The store of PROTOCOL, in memory. */
public final class FakeStore {
  private record Value(ObjectNode v, long modRevision, long leaseId) {}

  private record Change(String key, ObjectNode v, long modRevision) {}

  private record Watch(String prefix, long after, Promise<HttpReply> promise) {}

  private static final class Lease {
    double leaseTtlS;
    double until;
  }

  private final FakeTime time;

  /** What it held at some moment. */
  public record Snapshot(TreeMap<String, Object> data, long epoch) {}

  private final TreeMap<String, Value> data = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long epoch = 10;
  private long nextLease = 1;

  /** Every request is refused, and no lease runs out. */
  public boolean outage;

  /** Lists are not answered. */
  public boolean listsUnanswered;

  public int commitCount;

  /**
   * Limits as PROTOCOL has them; a transaction beyond them gets 400, changes beyond the rate 429.
   */
  public int maxValueBytes = 8 * 1024;

  public int maxTransactionOperations = 12;
  public double maxChangesPerS = 100;
  private double credit;
  private double creditAt;

  /** Transactions refused as malformed, and for being too many. */
  public int malformedCount;

  public int throttledCount;

  /** Jobs whose end was ever written as done, whatever became of it since. */
  public final Set<String> jobsEverDone = new HashSet<>();

  /** Runs whenever somebody has become leader. */
  Runnable onLeaderChange = () -> {};

  /** How often each key was written. */
  public final Map<String, Integer> writeCounts = new TreeMap<>();

  public FakeStore(FakeTime time) {
    this.time = time;
    sweep();
  }

  private void sweep() {
    time.after(
        0.05,
        () -> {
          if (!outage) {
            expire();
          }
          sweep();
        });
  }

  private void expire() {
    leases
        .entrySet()
        .removeIf(
            e -> {
              if (e.getValue().until > time.now()) {
                return false;
              }
              dropAttached(e.getKey());
              return true;
            });
  }

  private void dropAttached(long leaseId) {
    for (String key : List.copyOf(data.keySet())) {
      if (data.get(key).leaseId == leaseId) {
        epoch++;
        data.remove(key);
        changed(key, null);
      }
    }
  }

  /** Ends an outage: every lease gets its full time again. */
  public void endOutage() {
    outage = false;
    leases.values().forEach(l -> l.until = time.now() + l.leaseTtlS);
  }

  /** Everything is gone: keys, leases, changes; revisions and the names of leases begin anew. */
  public void wipe() {
    data.clear();
    leases.clear();
    changes.clear();
    epoch = 0;
    nextLease = 1;
  }

  /** What it holds now, to be put back later. */
  public Snapshot snapshot() {
    return new Snapshot(new TreeMap<>(data), epoch);
  }

  /**
   * Everything is as it was then, the leader's key and its lease included, if {@code withLeases}.
   */
  public void restore(Snapshot then, boolean withLeases) {
    data.clear();
    then.data.forEach((k, v) -> data.put(k, (Value) v));
    epoch = then.epoch;
    changes.removeIf(c -> c.modRevision > epoch);
    if (!withLeases) {
      leases.clear();
    }
  }

  /** Keys under a prefix are gone; revisions go on, and no watch is told. */
  public void deletePrefix(String prefix) {
    data.keySet().removeIf(k -> k.startsWith(prefix));
  }

  /**
   * Conditions on keys with this prefix are not looked at, as if nobody had made them; null: all
   * are.
   */
  public String ignoredConditionPrefix;

  /** Lowers the limits, without notice. */
  public void lowerLimits(int bytes, int ops, double perS) {
    maxValueBytes = bytes;
    maxTransactionOperations = ops;
    maxChangesPerS = perS;
  }

  /** Puts a value there as another version would have left it. */
  public void put(String key, String json) {
    epoch++;
    ObjectNode v = Json.parseObject(json.getBytes(StandardCharsets.UTF_8));
    data.put(key, new Value(v, epoch, 0));
    changed(key, v);
  }

  /** All keys under a prefix. */
  public List<String> keys(String prefix) {
    return data.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
  }

  public ObjectNode value(String key) {
    Value v = data.get(key);
    return v == null ? null : v.v;
  }

  public long modRevision(String key) {
    Value v = data.get(key);
    return v == null ? 0 : v.modRevision;
  }

  public Future<HttpReply> handle(String method, String path, byte[] body) {
    if (outage) {
      return reply(503, Json.object().put("error", "down"));
    }
    if (path.startsWith("/store/")) {
      return get(path.substring(7));
    }
    if (path.startsWith("/store?")) {
      return listsUnanswered
          ? Promise.<HttpReply>promise().future()
          : list(query(path, "starts"), query(path, "after"));
    }
    if (path.startsWith("/changes")) {
      return watch(
          query(path, "starts"),
          Long.parseLong(query(path, "after")),
          Double.parseDouble(query(path, "hold_ms")) / 1000);
    }
    if (path.equals("/commit")) {
      return commit(Json.parseObject(body));
    }
    if (path.equals("/leases")) {
      Lease l = new Lease();
      l.leaseTtlS = Json.parseObject(body).get("life_ms").asDouble() / 1000;
      l.until = time.now() + l.leaseTtlS;
      leases.put(nextLease, l);
      return reply(200, Json.object().put("permit", nextLease++));
    }
    long leaseId = Long.parseLong(path.split("/")[2]);
    Lease l = leases.get(leaseId);
    if (l == null) {
      return reply(404, Json.object());
    }
    if (method.equals("DELETE")) {
      leases.remove(leaseId);
      dropAttached(leaseId);
    } else {
      l.until = time.now() + l.leaseTtlS;
    }
    return reply(200, Json.object());
  }

  private Future<HttpReply> get(String key) {
    Value v = data.get(key);
    if (v == null) {
      return reply(404, Json.object().put("epoch", epoch));
    }
    ObjectNode o = Json.object().put("key", key).put("stamp", v.modRevision);
    o.set("v", v.v);
    return reply(200, o);
  }

  private Future<HttpReply> list(String prefix, String after) {
    ObjectNode o = Json.object().put("epoch", epoch).put("truncated", false);
    ArrayNode pairs = o.putArray("pairs");
    data.tailMap(prefix)
        .forEach(
            (k, v) -> {
              if (k.startsWith(prefix) && (after == null || k.compareTo(after) > 0)) {
                ObjectNode p = pairs.addObject().put("key", k).put("stamp", v.modRevision);
                p.set("v", v.v);
              }
            });
    return reply(200, o);
  }

  private Future<HttpReply> commit(ObjectNode o) {
    int size = o.path("apply").size();
    commitCount += size > 0 ? 1 : 0;
    boolean large =
        size > maxTransactionOperations
            || o.get("when").size() > 4 * maxTransactionOperations
            || Json.bytes(o).length > 64 * 1024;
    for (JsonNode a : o.path("apply")) {
      large |= a.has("write") && Json.bytes(a.get("v")).length > maxValueBytes;
    }
    if (large) {
      malformedCount++;
      return reply(400, Json.object().put("error", "over the limits"));
    }
    credit = Math.min(maxChangesPerS, credit + (time.now() - creditAt) * maxChangesPerS);
    creditAt = time.now();
    if (credit < size) {
      throttledCount++;
      return reply(429, Json.object().put("error", "too many changes"));
    }
    credit -= size;
    ArrayNode failed = Json.object().putArray("failed");
    for (JsonNode w : o.get("when")) {
      boolean seen =
          ignoredConditionPrefix == null
              || !w.get("key").asText().startsWith(ignoredConditionPrefix);
      if (seen && modRevision(w.get("key").asText()) != w.get("stamp").asLong()) {
        failed.add(w.get("key").asText());
      }
    }
    for (JsonNode a : o.path("apply")) {
      if (a.has("permit") && !leases.containsKey(a.get("permit").asLong())) {
        return reply(400, Json.object().put("error", "no such lease"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode r = Json.object().put("epoch", epoch);
      r.set("failed", failed);
      return reply(409, r);
    }
    if (size == 0) {
      return reply(200, Json.object().put("epoch", epoch));
    }
    epoch++;
    for (JsonNode a : o.get("apply")) {
      if (a.has("write")) {
        String key = a.get("write").asText();
        ObjectNode v = a.get("v").deepCopy();
        writeCounts.merge(key, 1, Integer::sum);
        if (v.path("end").asText().equals("done")) {
          jobsEverDone.add(key.split("/")[1]);
        }
        data.put(key, new Value(v, epoch, a.path("permit").asLong(0)));
        changed(key, v);
        if (key.equals(JobProgressCodec.LEADER)) {
          onLeaderChange.run();
        }
      } else {
        data.remove(a.get("drop").asText());
        changed(a.get("drop").asText(), null);
      }
    }
    return reply(200, Json.object().put("epoch", epoch));
  }

  private void changed(String key, ObjectNode v) {
    changes.add(new Change(key, v, epoch));
    for (Watch w : List.copyOf(watches)) {
      if (key.startsWith(w.prefix)) {
        watches.remove(w);
        time.execute(() -> w.promise.tryComplete(events(w.prefix, w.after)));
      }
    }
  }

  private Future<HttpReply> watch(String prefix, long after, double gracePeriodS) {
    Promise<HttpReply> promise = Promise.promise();
    boolean any = changes.stream().anyMatch(c -> c.modRevision > after && c.key.startsWith(prefix));
    if (any) {
      promise.complete(events(prefix, after));
    } else {
      Watch w = new Watch(prefix, after, promise);
      watches.add(w);
      time.after(
          gracePeriodS,
          () -> {
            watches.remove(w);
            promise.tryComplete(events(prefix, after));
          });
    }
    return promise.future();
  }

  private HttpReply events(String prefix, long after) {
    ObjectNode o = Json.object().put("epoch", epoch);
    ArrayNode list = o.putArray("events");
    for (Change c : changes) {
      if (c.modRevision > after && c.key.startsWith(prefix)) {
        ObjectNode e =
            list.addObject().put(c.v == null ? "drop" : "write", c.key).put("stamp", c.modRevision);
        if (c.v != null) {
          e.set("v", c.v);
        }
      }
    }
    return new HttpReply(200, Json.bytes(o));
  }

  private static String query(String path, String name) {
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return null;
  }

  private static Future<HttpReply> reply(int status, ObjectNode o) {
    return Future.succeededFuture(new HttpReply(status, Json.bytes(o)));
  }
}
