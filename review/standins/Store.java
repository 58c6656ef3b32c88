import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** The state service of PROTOCOL, in memory, with a port for each controller. */
final class Store {
  private record Entry(byte[] value, long stamp, long lease) {}

  private record Change(String key, byte[] value, long stamp) {}

  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_PAGE_ITEMS = 1000;
  private static final int MAX_PAGE_BYTES = 512 * 1024;

  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int txnOps;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Double> leaseEnds = new HashMap<>();
  private final Map<Long, Double> leaseTtls = new HashMap<>();
  private long epoch;
  private long lastLease;
  private double requestTokens;
  private double writeTokens;
  private double refilledAt;

  /** Names of controllers that are refused: every request of theirs gets 503. */
  final Set<String> refused = ConcurrentHashMap.newKeySet();

  /** Every request gets 503. */
  volatile boolean outage;

  volatile int commits;
  volatile int largestWatch;

  Store(double rps, double writeRps, double valueKb, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = (int) (valueKb * 1024);
    this.txnOps = txnOps;
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    this.refilledAt = Record.now();
    Web.POOL.execute(this::expireLoop);
  }

  int listen(String node) {
    int port = Web.freePort();
    Web.serve(port, (method, uri, body) -> handle(node, method, uri, body));
    return port;
  }

  private void expireLoop() {
    while (true) {
      Web.sleep(0.02);
      synchronized (this) {
        if (!outage) {
          double now = Record.now();
          for (long lease : List.copyOf(leaseEnds.keySet())) {
            if (leaseEnds.get(lease) < now) {
              endLease(lease);
            }
          }
        }
      }
    }
  }

  synchronized void endOutage() {
    outage = false;
    leaseEnds.replaceAll((lease, end) -> Record.now() + leaseTtls.get(lease));
  }

  private void endLease(long lease) {
    leaseEnds.remove(lease);
    leaseTtls.remove(lease);
    List<String> keys = new ArrayList<>();
    entries.forEach((key, entry) -> { if (entry.lease == lease) keys.add(key); });
    if (!keys.isEmpty()) {
      epoch++;
      keys.forEach(key -> change(key, null, 0));
      notifyAll();
    }
  }

  private void change(String key, byte[] value, long lease) {
    if (value == null) {
      entries.remove(key);
    } else {
      entries.put(key, new Entry(value, epoch, lease));
    }
    changes.add(new Change(key, value, epoch));
    if (changes.size() > KEPT_CHANGES) {
      changes.removeFirst();
    }
  }

  /** Adds an entry that was written at an earlier revision, so that no watch tells of it now. */
  synchronized void putEarlier(String key, byte[] value) {
    entries.put(key, new Entry(value, 1, 0));
  }

  synchronized byte[] value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  synchronized Map<String, byte[]> under(String prefix) {
    Map<String, byte[]> found = new TreeMap<>();
    entries.tailMap(prefix).forEach((key, entry) -> { if (key.startsWith(prefix)) found.put(key, entry.value); });
    return found;
  }

  synchronized long bytesUnder(String prefix) {
    return under(prefix).values().stream().mapToLong(value -> value.length).sum();
  }

  /** The node that the leader's key names; null if there is none. */
  String leader() {
    byte[] value = value("steward");
    return value == null ? null : new Web.Reply(200, value).json().path("node").asText();
  }

  private boolean take(int writes) {
    double now = Record.now();
    requestTokens = Math.min(rps, requestTokens + (now - refilledAt) * rps);
    writeTokens = Math.min(writeRps, writeTokens + (now - refilledAt) * writeRps);
    refilledAt = now;
    if (requestTokens < 1 || writeTokens < writes) {
      return false;
    }
    requestTokens--;
    writeTokens -= writes;
    return true;
  }

  private Web.Reply handle(String node, String method, URI uri, byte[] body) throws Exception {
    if (outage || refused.contains(node)) {
      return Web.reply(503, Web.object().put("error", "unavailable"));
    }
    String path = uri.getRawPath();
    Map<String, String> query = query(uri);
    if (path.equals("/commit")) {
      return commit(node, Web.JSON.readTree(body), body.length);
    }
    synchronized (this) {
      if (!take(0)) {
        return Web.reply(429, Web.object());
      }
    }
    if (path.equals("/changes")) {
      return watch(node, query);
    }
    synchronized (this) {
      if (path.startsWith("/store/")) {
        String key = path.substring("/store/".length());
        Entry entry = entries.get(key);
        return entry == null
            ? Web.reply(404, Web.object().put("epoch", epoch))
            : Web.reply(200, pair(key, entry));
      }
      if (path.equals("/store")) {
        return list(query);
      }
      if (path.equals("/leases")) {
        long lease = ++lastLease;
        double ttlS = Web.JSON.readTree(body).get("life_ms").asDouble() / 1000;
        leaseTtls.put(lease, ttlS);
        leaseEnds.put(lease, Record.now() + ttlS);
        return Web.reply(200, Web.object().put("permit", lease));
      }
      long lease = Long.parseLong(path.split("/")[2]);
      if (!leaseEnds.containsKey(lease)) {
        return Web.reply(404, Web.object());
      }
      if (method.equals("DELETE")) {
        endLease(lease);
      } else {
        leaseEnds.put(lease, Record.now() + leaseTtls.get(lease));
      }
      return Web.reply(200, Web.object().put("permit", lease));
    }
  }

  private static ObjectNode pair(String key, Entry entry) {
    ObjectNode pair = Web.object().put("key", key);
    pair.putRawValue("v", raw(entry.value));
    pair.put("stamp", entry.stamp);
    if (entry.lease != 0) {
      pair.put("permit", entry.lease);
    }
    return pair;
  }

  private static RawValue raw(byte[] value) {
    return new RawValue(new String(value, StandardCharsets.UTF_8));
  }

  private Web.Reply list(Map<String, String> query) {
    String prefix = query.getOrDefault("starts", "");
    String after = query.get("after");
    int page = Math.min(MAX_PAGE_ITEMS, Integer.parseInt(query.getOrDefault("page", "1000")));
    ObjectNode answer = Web.object();
    ArrayNode pairs = answer.putArray("pairs");
    int bytes = 0;
    boolean truncated = false;
    String from = after != null && after.compareTo(prefix) > 0 ? after : prefix;
    for (Map.Entry<String, Entry> entry : entries.tailMap(from, true).entrySet()) {
      String key = entry.getKey();
      if (!key.startsWith(prefix)) {
        break;
      }
      if (key.equals(after)) {
        continue;
      }
      int size = key.length() + entry.getValue().value.length + 60;
      if (pairs.size() == page || bytes + size > MAX_PAGE_BYTES) {
        truncated = true;
        break;
      }
      bytes += size;
      pairs.add(pair(key, entry.getValue()));
    }
    answer.put("truncated", truncated).put("epoch", epoch);
    return Web.reply(200, answer);
  }

  private Web.Reply commit(String node, JsonNode transaction, int length) {
    JsonNode apply = transaction.path("apply");
    JsonNode when = transaction.path("when");
    if (apply.size() > txnOps || when.size() > 4 * txnOps || length > Web.MAX_BODY) {
      return Web.reply(400, Web.object().put("error", "too large"));
    }
    synchronized (this) {
      if (!take(apply.size())) {
        return Web.reply(429, Web.object());
      }
      for (JsonNode operation : apply) {
        if (operation.has("write") && Web.bytes(operation.get("v")).length > valueBytes) {
          return Web.reply(400, Web.object().put("error", "value too large"));
        }
        if (operation.hasNonNull("permit") && !leaseEnds.containsKey(operation.get("permit").asLong())) {
          return Web.reply(400, Web.object().put("error", "no such lease"));
        }
      }
      ObjectNode answer = Web.object();
      ArrayNode failed = Web.JSON.createArrayNode();
      for (JsonNode condition : when) {
        Entry entry = entries.get(condition.get("key").asText());
        if ((entry == null ? 0 : entry.stamp) != condition.get("stamp").asLong()) {
          failed.add(condition.get("key").asText());
        }
      }
      if (!failed.isEmpty()) {
        answer.set("failed", failed);
        return Web.reply(409, answer.put("epoch", epoch));
      }
      if (!apply.isEmpty()) {
        epoch++;
        commits++;
        for (JsonNode operation : apply) {
          if (operation.has("write")) {
            change(
                operation.get("write").asText(),
                Web.bytes(operation.get("v")),
                operation.path("permit").asLong(0));
          } else {
            change(operation.get("drop").asText(), null, 0);
          }
        }
        notifyAll();
      }
      return Web.reply(200, answer.put("epoch", epoch));
    }
  }

  private Web.Reply watch(String node, Map<String, String> query) throws InterruptedException {
    String prefix = query.getOrDefault("starts", "");
    long after = Long.parseLong(query.get("after"));
    double until = Record.now() + Double.parseDouble(query.getOrDefault("hold_ms", "0")) / 1000;
    List<Change> found = new ArrayList<>();
    long at;
    synchronized (this) {
      while (true) {
        if (changes.size() == KEPT_CHANGES && after < changes.peekFirst().stamp - 1) {
          return Web.reply(410, Web.object());
        }
        boolean blind = outage || refused.contains(node);
        if (!blind) {
          for (Change change : changes) {
            if (change.stamp > after && change.key.startsWith(prefix)) {
              found.add(change);
            }
          }
        }
        double left = until - Record.now();
        if (!found.isEmpty() || (left <= 0 && !blind)) {
          break;
        }
        wait(Math.max(1, (long) (Math.min(left <= 0 ? 0.1 : left, 0.5) * 1000)));
      }
      at = epoch;
    }
    StringBuilder body = new StringBuilder("{\"epoch\":").append(at).append(",\"events\":[");
    String separator = "";
    for (Change change : found) {
      body.append(separator);
      separator = ",";
      if (change.value == null) {
        body.append("{\"drop\":\"").append(change.key).append('"');
      } else {
        body.append("{\"write\":\"").append(change.key).append("\",\"v\":");
        body.append(new String(change.value, StandardCharsets.UTF_8));
      }
      body.append(",\"stamp\":").append(change.stamp).append('}');
    }
    byte[] bytes = body.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    if (bytes.length > largestWatch) {
      largestWatch = bytes.length;
      if (bytes.length > 1 << 20) {
        Record.add("state service: %d changes for %s after %d, %d bytes", found.size(), node, after, bytes.length);
      }
    }
    return new Web.Reply(200, bytes);
  }

  private static Map<String, String> query(URI uri) {
    Map<String, String> query = new HashMap<>();
    if (uri.getRawQuery() != null) {
      for (String part : uri.getRawQuery().split("&")) {
        int equals = part.indexOf('=');
        query.put(part.substring(0, equals), java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
