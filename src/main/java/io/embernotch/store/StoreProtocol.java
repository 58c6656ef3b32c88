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
 * The store's protocol: its paths, its field names and the shapes of its answers. The names are the
 * wire's own; each constant says which term of this package it stands for.
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

  /** An operation or event that writes the key that it names. */
  static final String WRITE = "write";

  /** An operation or event that deletes the key that it names. */
  static final String DROP = "drop";

  /** The conditions of a transaction. */
  static final String CONDITIONS = "when";

  /** The operations of a transaction. */
  static final String OPERATIONS = "apply";

  /** Wire name of a lease's time to live, in milliseconds. */
  private static final String LEASE_TTL_MS = "life_ms";

  /** The keys whose conditions did not hold. */
  private static final String CONFLICTS = "failed";

  /** Field of an object that stands for a value that is none. */
  private static final String NOT_AN_OBJECT = "not_an_object";

  private static final String EVENTS = "events";
  private static final String PAIRS = "pairs";
  private static final String TRUNCATED = "truncated";

  /** What the text of a {@code 400} contains if the transaction names a lease that has ended. */
  private static final String NO_SUCH_LEASE = "no such lease";

  private static final double MS_PER_S = 1000;

  private StoreProtocol() {}

  static String entryPath(String key) {
    return "/store/" + key;
  }

  /** The path of one page of a listing; {@code after}: the last key of the page before, or null. */
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
   * The value of a key that is there. All values that this program writes are objects; another one
   * is given as an object without any field that it knows, which is for its reader to report:
   * failing here would keep everything else of the same answer from being read.
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
    for (JsonNode pair : Json.need(page, PAIRS)) {
      if (!(pair instanceof ObjectNode entry)) {
        throw new MalformedInputException(PAIRS + ": must be objects");
      }
      entries.add(readEntry(entry));
    }
    return entries;
  }

  /** Whether further pages follow this one. */
  static boolean isTruncated(ObjectNode page) {
    return Json.flagOr(page, TRUNCATED, false);
  }

  static TransactionResult readApplied(ObjectNode answer) {
    return new TransactionResult(true, readRevision(answer), Set.of());
  }

  static TransactionResult readConflict(ObjectNode answer) {
    long revision = readRevision(answer);
    Set<String> conflicts = new HashSet<>();
    for (JsonNode key : Json.need(answer, CONFLICTS)) {
      conflicts.add(key.asText());
    }
    return new TransactionResult(false, revision, conflicts);
  }

  /** What a transaction that was answered {@code 400} failed for. */
  static StoreException readRejection(byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8);
    return text.contains(NO_SUCH_LEASE)
        ? new StoreException(StoreException.Kind.NO_LEASE, NO_SUCH_LEASE)
        : new StoreException(StoreException.Kind.MALFORMED, text);
  }

  static WatchEvents readEvents(ObjectNode answer) {
    List<VersionedEntry> events = new ArrayList<>();
    for (JsonNode event : Json.need(answer, EVENTS)) {
      events.add(readEvent(event));
    }
    return new WatchEvents(readRevision(answer), events);
  }

  private static VersionedEntry readEvent(JsonNode event) {
    JsonNode dropped = Json.opt(event, DROP);
    if (dropped != null) {
      return new VersionedEntry(dropped.asText(), null, Json.whole(event, MOD_REVISION));
    }
    return new VersionedEntry(
        Json.text(event, WRITE), readValue(event), Json.whole(event, MOD_REVISION));
  }
}
