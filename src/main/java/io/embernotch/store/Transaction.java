package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Builder of a transaction: operations that the store applies atomically if all conditions hold. A
 * transaction without operations only checks its conditions.
 */
public final class Transaction {
  /** Size limit in bytes; the store accepts 64 KiB, the rest is for field names and conditions. */
  public static final int MAX_BYTES = 60 * 1024;

  private final ObjectNode body = Json.object();
  private final ArrayNode conditions = body.putArray(StoreProtocol.CONDITIONS);
  private final ArrayNode operations = body.putArray(StoreProtocol.OPERATIONS);
  private boolean fenced = true;
  private String lastWrittenKey;
  private final Map<String, ObjectNode> writes = new LinkedHashMap<>();

  /** Adds the condition that the key has this modification revision; 0 means that it is absent. */
  public Transaction when(String key, long modRevision) {
    conditions.addObject().put(StoreProtocol.KEY, key).put(StoreProtocol.MOD_REVISION, modRevision);
    return this;
  }

  /** Adds a write of {@code value}. */
  public Transaction write(String key, ObjectNode value) {
    addWrite(key, value);
    return this;
  }

  /** Adds a write of a key that the store deletes when the lease ends. */
  public Transaction write(String key, ObjectNode value, long leaseId) {
    addWrite(key, value).put(StoreProtocol.LEASE_ID, leaseId);
    return this;
  }

  private ObjectNode addWrite(String key, ObjectNode value) {
    lastWrittenKey = key;
    writes.put(key, value);
    ObjectNode operation = operations.addObject().put(StoreProtocol.WRITE, key);
    operation.set(StoreProtocol.VALUE, value);
    return operation;
  }

  /** Adds a deletion of {@code key}. */
  public Transaction delete(String key) {
    operations.addObject().put(StoreProtocol.DELETE, key);
    return this;
  }

  /**
   * Exempts the transaction from the fence. For transactions that begin an incarnation or write
   * keys that only one incarnation uses.
   */
  public Transaction unfenced() {
    fenced = false;
    return this;
  }

  /** The key of the last write; null if there is no write. */
  String lastWrittenKey() {
    return lastWrittenKey;
  }

  /** The written values, by key. */
  public Map<String, ObjectNode> writes() {
    return writes;
  }

  /** Whether the transaction is conditional on the fence of the present incarnation. */
  boolean fenced() {
    return fenced;
  }

  /** Number of changes that count against the store's limits. */
  public int changes() {
    return operations.size();
  }

  byte[] bytes() {
    // The store accepts a transaction without operations only if their field is absent.
    return Json.bytes(
        operations.isEmpty() ? Json.object().set(StoreProtocol.CONDITIONS, conditions) : body);
  }
}
