package io.embernotch.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The store's HTTP protocol: paths, field names and the decoding of answers. The field names are
 * fixed by the store; the constants have this package's names for them.
 */
final class StoreProtocol {
  static final String COMMIT_PATH = "/commit";
  static final String LEASES_PATH = "/leases";

  /** Wire name of the modification revision. */
  static final String MOD_REVISION = "stamp";

  /** Wire name of the store's revision. */
  static final String REVISION = "epoch";

  /** Wire name of a lease's id. */
  static final String LEASE_ID = "permit";

  static final String KEY = "key";
  static final String VALUE = "v";

  /** Field with the key that an operation or event writes. */
  static final String WRITE = "write";

  /** Field with the key that an operation or event deletes. */
  static final String DELETE = "drop";

  /** Field with the conditions of a transaction. */
  static final String CONDITIONS = "when";

  /** Field with the operations of a transaction. */
  static final String OPERATIONS = "apply";

  /** Wire name of a lease's time to live, in milliseconds. */
  private static final String LEASE_TTL_MS = "life_ms";

  /** Field with the keys whose conditions did not hold. */
  private static final String CONFLICTS = "failed";

  /** Field of the object that wraps a value of another JSON type. */
  private static final String NOT_AN_OBJECT = "not_an_object";

  private static final String EVENTS = "events";
  private static final String PAIRS = "pairs";
  private static final String TRUNCATED = "truncated";

  /** Part of the text of a {@code 400} answer if the transaction's lease has ended. */
  private static final String NO_SUCH_LEASE = "no such lease";

  private static final double MS_PER_S = 1000;

  private StoreProtocol() {}

  static String entryPath(String key) {
    return "/store/" + key;
  }

  /**
   * Returns the path of one page of a listing.
   *
   * @param after the last key of the previous page; null for the first page
   */
  static String listPath(String prefix, String after, int pageSize) {
    return "/store?starts="
        + prefix
        + (after == null ? "" : "&after=" + after)
        + "&page="
        + pageSize;
  }

  static String watchPath(String prefix, long revision, double longPollS) {
    return "/changes?starts="
        + prefix
        + "&after="
        + revision
        + "&hold_ms="
        + Math.round(longPollS * MS_PER_S);
  }

  static String leasePath(long leaseId) {
    return LEASES_PATH + "/" + leaseId;
  }

  static String leaseRenewalPath(long leaseId) {
    return leasePath(leaseId) + "/extend";
  }

  static byte[] grantBody(double leaseTtlS) {
    return Json.bytes(Json.object().put(LEASE_TTL_MS, Math.round(leaseTtlS * MS_PER_S)));
  }

  static long readLeaseId(ObjectNode answer) {
    return Json.whole(answer, LEASE_ID);
  }

  static long readRevision(ObjectNode answer) {
    return Json.whole(answer, REVISION);
  }

  static VersionedEntry readEntry(ObjectNode entry) {
    return new VersionedEntry(
        Json.text(entry, KEY), readValue(entry), Json.whole(entry, MOD_REVISION));
  }

  /**
   * Returns the value of an entry; null if there is none. All values that this program writes are
   * JSON objects. Another value is wrapped in an object without known fields, so that its reader
   * reports it as malformed and the rest of the answer can still be read.
   */
  private static ObjectNode readValue(JsonNode entry) {
    JsonNode value = entry.get(VALUE);
    if (value instanceof ObjectNode object) {
      return object;
    }
    return value == null ? null : Json.object().set(NOT_AN_OBJECT, value);
  }

  static List<VersionedEntry> readPage(ObjectNode page) {
    List<VersionedEntry> entries = new ArrayList<>();
    for (JsonNode pair : Json.required(page, PAIRS)) {
      if (!(pair instanceof ObjectNode entry)) {
        throw new MalformedInputException(PAIRS + ": must be objects");
      }
      entries.add(readEntry(entry));
    }
    return entries;
  }

  static EntryPage readEntryPage(ObjectNode page) {
    List<VersionedEntry> entries = readPage(page);
    boolean truncated = Json.boolOr(page, TRUNCATED, false);
    return new EntryPage(entries, !truncated || entries.isEmpty(), readRevision(page));
  }

  static TransactionResult readApplied(ObjectNode answer) {
    return new TransactionResult(true, readRevision(answer), Set.of());
  }

  static TransactionResult readConflict(ObjectNode answer) {
    long revision = readRevision(answer);
    Set<String> conflicts = new HashSet<>();
    for (JsonNode key : Json.required(answer, CONFLICTS)) {
      conflicts.add(key.asText());
    }
    return new TransactionResult(false, revision, conflicts);
  }

  /** Returns the failure of a transaction that was answered with {@code 400}. */
  static StoreException readRejection(byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8);
    return text.contains(NO_SUCH_LEASE)
        ? new StoreException(StoreException.Kind.NO_LEASE, NO_SUCH_LEASE)
        : new StoreException(StoreException.Kind.MALFORMED, text);
  }

  static WatchEvents readEvents(ObjectNode answer) {
    List<VersionedEntry> events = new ArrayList<>();
    for (JsonNode event : Json.required(answer, EVENTS)) {
      events.add(readEvent(event));
    }
    return new WatchEvents(readRevision(answer), events);
  }

  private static VersionedEntry readEvent(JsonNode event) {
    JsonNode deletedKey = Json.optional(event, DELETE);
    if (deletedKey != null) {
      return new VersionedEntry(deletedKey.asText(), null, Json.whole(event, MOD_REVISION));
    }
    return new VersionedEntry(
        Json.text(event, WRITE), readValue(event), Json.whole(event, MOD_REVISION));
  }
}
