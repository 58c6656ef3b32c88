package io.embernotch.testkit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpReply;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The keys of the store with their revisions, the history of changes, and the watches on it. */
final class StoreData {
  /** A value and the revision that wrote it; lease 0 is none. */
  record Entry(ObjectNode value, long modRevision, long leaseId) {}

  /** A write, or a deletion if {@code value} is null. */
  private record Change(String key, ObjectNode value, long modRevision) {}

  private record Watch(String prefix, long afterRevision, Promise<HttpReply> promise) {}

  private final FakeTime time;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision = 10;

  StoreData(FakeTime time) {
    this.time = time;
  }

  /** The revision of the newest change. */
  long revision() {
    return revision;
  }

  /** Begins a new revision, which the changes that follow belong to. */
  void nextRevision() {
    revision++;
  }

  /** The entry of a key, or null. */
  Entry get(String key) {
    return entries.get(key);
  }

  List<String> keys(String prefix) {
    return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  /**
   * The first entries under a prefix whose keys come after {@code after}; null: from the first on.
   */
  Map<String, Entry> list(String prefix, String after, int limit) {
    boolean fromStart = after == null || after.compareTo(prefix) < 0;
    Map<String, Entry> found = new LinkedHashMap<>();
    for (Map.Entry<String, Entry> entry :
        entries.tailMap(fromStart ? prefix : after, fromStart).entrySet()) {
      if (found.size() == limit || !entry.getKey().startsWith(prefix)) {
        break;
      }
      found.put(entry.getKey(), entry.getValue());
    }
    return found;
  }

  void write(String key, ObjectNode value, long leaseId) {
    entries.put(key, new Entry(value, revision, leaseId));
    changed(key, value);
  }

  void delete(String key) {
    entries.remove(key);
    changed(key, null);
  }

  /** Deletes the keys that are attached to a lease, each in a revision of its own. */
  void deleteAttached(long leaseId) {
    for (String key : List.copyOf(entries.keySet())) {
      if (entries.get(key).leaseId == leaseId) {
        nextRevision();
        delete(key);
      }
    }
  }

  private void changed(String key, ObjectNode value) {
    changes.add(new Change(key, value, revision));
    for (Watch watch : List.copyOf(watches)) {
      if (key.startsWith(watch.prefix)) {
        watches.remove(watch);
        time.execute(() -> watch.promise.tryComplete(events(watch.prefix, watch.afterRevision)));
      }
    }
  }

  /** The changes after a revision: at once if there are any, else at the next or the timeout. */
  Future<HttpReply> watch(String prefix, long afterRevision, double timeoutS) {
    Promise<HttpReply> promise = Promise.promise();
    if (changes.stream().anyMatch(change -> isSeen(change, prefix, afterRevision))) {
      promise.complete(events(prefix, afterRevision));
      return promise.future();
    }
    Watch watch = new Watch(prefix, afterRevision, promise);
    watches.add(watch);
    time.after(
        timeoutS,
        () -> {
          watches.remove(watch);
          promise.tryComplete(events(prefix, afterRevision));
        });
    return promise.future();
  }

  private static boolean isSeen(Change change, String prefix, long afterRevision) {
    return change.modRevision > afterRevision && change.key.startsWith(prefix);
  }

  private HttpReply events(String prefix, long afterRevision) {
    ObjectNode body = Json.object().put("epoch", revision);
    ArrayNode events = body.putArray("events");
    for (Change change : changes) {
      if (isSeen(change, prefix, afterRevision)) {
        ObjectNode event = events.addObject();
        event.put(change.value == null ? "drop" : "write", change.key);
        event.put("stamp", change.modRevision);
        if (change.value != null) {
          event.set("v", change.value);
        }
      }
    }
    return new HttpReply(200, Json.bytes(body));
  }

  /** Loses every key and change; revisions begin anew. */
  void wipe() {
    entries.clear();
    changes.clear();
    revision = 0;
  }

  /** Loses the keys under a prefix; revisions go on, and no watch is notified. */
  void deleteSilently(String prefix) {
    entries.keySet().removeIf(key -> key.startsWith(prefix));
  }

  Map<String, Entry> copyOfEntries() {
    return new TreeMap<>(entries);
  }

  /** Goes back to former entries and their revision; later changes are forgotten. */
  void restore(Map<String, Entry> formerEntries, long formerRevision) {
    entries.clear();
    entries.putAll(formerEntries);
    revision = formerRevision;
    changes.removeIf(change -> change.modRevision > revision);
  }
}
