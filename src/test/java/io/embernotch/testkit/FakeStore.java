package io.embernotch.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpReply;
import io.embernotch.testkit.StoreData.Entry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The store of PROTOCOL, in memory. Tests look into it, and set its limits and faults. */
public final class FakeStore {
  private static final double EXPIRY_CHECK_INTERVAL_S = 0.05;
  private static final double MS_PER_S = 1000;

  /** What the store held at some moment. */
  public static final class Snapshot {
    private final Map<String, Entry> entries;
    private final long revision;

    private Snapshot(Map<String, Entry> entries, long revision) {
      this.entries = entries;
      this.revision = revision;
    }
  }

  private final FakeTime time;
  private final StoreData data;
  private final StoreLeases leases;
  private final StoreLimits limits;

  /** Every request is refused, and no lease expires. */
  public boolean outage;

  /** Requests for lists get no response. */
  public boolean listsUnanswered;

  /**
   * Conditions on keys with this prefix are ignored, as if nobody had set them; null: all are
   * checked.
   */
  public String ignoredConditionPrefix;

  /** The most entries of a list in one response. */
  public int maxPageItems = 1000;

  /** Transactions with changes, whether they were carried out or not. */
  public int commitCount;

  /** Transactions refused with 400 for being larger than the limits. */
  public int malformedCount;

  /** Transactions refused with 429 for too many changes a second. */
  public int throttledCount;

  /** How often each key was written. */
  public final Map<String, Integer> writeCounts = new TreeMap<>();

  /**
   * Jobs whose end was ever written as done, by itself or with the snapshot of an incarnation,
   * whatever became of it since.
   */
  final Set<String> jobsEverDone = new HashSet<>();

  /** Runs whenever a controller has become leader. */
  Runnable onLeaderChange = () -> {};

  /** An empty store with the usual limits. */
  public FakeStore(FakeTime time) {
    this.time = time;
    data = new StoreData(time);
    leases = new StoreLeases(time, data);
    limits = new StoreLimits(time);
    scheduleExpiry();
  }

  private void scheduleExpiry() {
    time.after(
        EXPIRY_CHECK_INTERVAL_S,
        () -> {
          if (!outage) {
            leases.expire();
          }
          scheduleExpiry();
        });
  }

  // ---- faults

  /** Ends an outage: every lease gets its full time again. */
  public void endOutage() {
    outage = false;
    leases.renewAll();
  }

  /** Everything is lost: keys, leases, changes; revisions and lease ids begin anew. */
  public void wipe() {
    data.wipe();
    leases.wipe();
  }

  /** What the store holds now, to be restored later. */
  public Snapshot snapshot() {
    return new Snapshot(data.copyOfEntries(), data.revision());
  }

  /** Goes back to a snapshot, the leader's key included; leases stay if {@code keepLeases}. */
  public void restore(Snapshot snapshot, boolean keepLeases) {
    data.restore(snapshot.entries, snapshot.revision);
    if (!keepLeases) {
      leases.clear();
    }
  }

  /** Keys under a prefix are lost; revisions go on, and no watch is notified. */
  public void deletePrefix(String prefix) {
    data.deleteSilently(prefix);
  }

  /** Sets the limits on transactions, without notice. */
  public void lowerLimits(int valueBytes, int operations, double changesPerS) {
    limits.set(valueBytes, operations, changesPerS);
  }

  /** How many changes a transaction may have. */
  public int maxTransactionOperations() {
    return limits.maxOperations();
  }

  /** Sets how many changes a transaction may have. */
  public void setMaxTransactionOperations(int operations) {
    limits.setMaxOperations(operations);
  }

  /** Sets how many changes a second are accepted. */
  public void setMaxChangesPerS(double changesPerS) {
    limits.setMaxChangesPerS(changesPerS);
  }

  // ---- content

  /** Writes a value as another version of the program would have left it. */
  public void put(String key, String json) {
    data.nextRevision();
    data.write(key, Json.parseObject(json.getBytes(StandardCharsets.UTF_8)), 0);
  }

  /** All keys under a prefix. */
  public List<String> keys(String prefix) {
    return data.keys(prefix);
  }

  /** The value of a key, or null. */
  public ObjectNode value(String key) {
    Entry entry = data.get(key);
    return entry == null ? null : entry.value();
  }

  /** The revision that wrote a key; 0 if there is none. */
  public long modRevision(String key) {
    Entry entry = data.get(key);
    return entry == null ? 0 : entry.modRevision();
  }

  /** The end of a job that the store holds, in whatever shard; null if it has none. */
  public String finalPhase(String ref) {
    String phase = null;
    for (String key : keys("run/" + ref)) {
      boolean ended = key.equals("run/" + ref) && value(key).has("end");
      phase = ended ? value(key).get("end").asText() : phase;
    }
    for (String key : keys("part/" + ref + "/")) {
      boolean ended = key.endsWith("/0") && value(key).has("end");
      phase = ended ? value(key).get("end").asText() : phase;
    }
    return phase;
  }

  // ---- requests

  /** The response to a request; one for lists never completes while they are unanswered. */
  public Future<HttpReply> handle(String method, String path, byte[] body) {
    if (outage) {
      return reply(503, Json.object().put("error", "down"));
    }
    if (path.startsWith("/store/")) {
      return get(path.substring("/store/".length()));
    }
    if (path.startsWith("/store?")) {
      return listsUnanswered
          ? Promise.<HttpReply>promise().future()
          : list(
              query(path, "starts"), query(path, "after"), Integer.parseInt(query(path, "page")));
    }
    if (path.startsWith("/changes")) {
      long afterRevision = Long.parseLong(query(path, "after"));
      double timeoutS = Double.parseDouble(query(path, "hold_ms")) / MS_PER_S;
      return data.watch(query(path, "starts"), afterRevision, timeoutS);
    }
    if (path.equals("/commit")) {
      return commit(Json.parseObject(body));
    }
    if (path.equals("/leases")) {
      double ttlS = Json.parseObject(body).get("life_ms").asDouble() / MS_PER_S;
      return reply(200, Json.object().put("permit", leases.grant(ttlS)));
    }
    return handleLease(method, Long.parseLong(path.split("/", -1)[2]));
  }

  private Future<HttpReply> handleLease(String method, long leaseId) {
    if (!leases.exists(leaseId)) {
      return reply(404, Json.object());
    }
    if (method.equals("DELETE")) {
      leases.revoke(leaseId);
    } else {
      leases.renew(leaseId);
    }
    return reply(200, Json.object());
  }

  private Future<HttpReply> get(String key) {
    Entry entry = data.get(key);
    if (entry == null) {
      return reply(404, revisionBody());
    }
    return reply(200, describe(Json.object(), key, entry));
  }

  private Future<HttpReply> list(String prefix, String after, int requestedItems) {
    int limit = Math.min(maxPageItems, requestedItems);
    Map<String, Entry> found = data.list(prefix, after, limit + 1);
    ObjectNode body = revisionBody().put("truncated", found.size() > limit);
    ArrayNode pairs = body.putArray("pairs");
    found.entrySet().stream()
        .limit(limit)
        .forEach(entry -> describe(pairs.addObject(), entry.getKey(), entry.getValue()));
    return reply(200, body);
  }

  private static ObjectNode describe(ObjectNode target, String key, Entry entry) {
    target.put("key", key).put("stamp", entry.modRevision());
    target.set("v", entry.value());
    return target;
  }

  // ---- transactions

  private Future<HttpReply> commit(ObjectNode transaction) {
    JsonNode changes = transaction.path("apply");
    commitCount += changes.isEmpty() ? 0 : 1;
    if (limits.isOversized(transaction)) {
      malformedCount++;
      return reply(400, Json.object().put("error", "over the limits"));
    }
    if (!limits.tryTake(changes.size())) {
      throttledCount++;
      return reply(429, Json.object().put("error", "too many changes"));
    }
    ArrayNode failed = failedConditions(transaction.get("when"));
    for (JsonNode change : changes) {
      if (change.has("permit") && !leases.exists(change.get("permit").asLong())) {
        return reply(400, Json.object().put("error", "no such lease"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode body = revisionBody();
      body.set("failed", failed);
      return reply(409, body);
    }
    if (!changes.isEmpty()) {
      data.nextRevision();
      changes.forEach(this::apply);
    }
    return reply(200, revisionBody());
  }

  private ArrayNode failedConditions(JsonNode conditions) {
    ArrayNode failed = Json.object().putArray("failed");
    for (JsonNode condition : conditions) {
      String key = condition.get("key").asText();
      boolean ignored = ignoredConditionPrefix != null && key.startsWith(ignoredConditionPrefix);
      if (!ignored && modRevision(key) != condition.get("stamp").asLong()) {
        failed.add(key);
      }
    }
    return failed;
  }

  private void apply(JsonNode change) {
    if (!change.has("write")) {
      data.delete(change.get("drop").asText());
      return;
    }
    String key = change.get("write").asText();
    ObjectNode value = change.get("v").deepCopy();
    writeCounts.merge(key, 1, Integer::sum);
    if (IncarnationEnds.isDone(value)) {
      jobsEverDone.add(refOf(key));
    }
    if (key.equals(IncarnationCodec.POINTER)) {
      jobsEverDone.addAll(IncarnationEnds.jobsDone(data, value));
    }
    data.write(key, value, change.path("permit").asLong(0));
    if (key.equals(JobProgressCodec.LEADER)) {
      onLeaderChange.run();
    }
  }

  /** The job that a key belongs to. */
  static String refOf(String key) {
    return key.split("/", -1)[1];
  }

  private ObjectNode revisionBody() {
    return Json.object().put("epoch", data.revision());
  }

  private static String query(String path, String name) {
    for (String part : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return null;
  }

  private static Future<HttpReply> reply(int status, ObjectNode body) {
    return Future.succeededFuture(new HttpReply(status, Json.bytes(body)));
  }
}
