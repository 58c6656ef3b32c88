package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A transaction being put together: operations that are applied all together if all conditions
 * hold. Without operations it only compares.
 */
public final class Transaction {
  /** The service takes 64 KiB; the rest is for names and conditions. */
  public static final int MAX_BYTES = 60 * 1024;

  private final ObjectNode body = Json.object();
  private final ArrayNode conditions = body.putArray(StoreProtocol.CONDITIONS);
  private final ArrayNode operations = body.putArray(StoreProtocol.OPERATIONS);
  private boolean fenced = true;
  private String lastKey;
  private final Map<String, ObjectNode> writes = new LinkedHashMap<>();

  /** Adds the condition that the key is at this modification revision; 0: that it is absent. */
  public Transaction when(String key, long modRevision) {
    conditions.addObject().put(StoreProtocol.KEY, key).put(StoreProtocol.MOD_REVISION, modRevision);
    return this;
  }

  /** Adds a write. */
  public Transaction write(String key, ObjectNode value) {
    addWrite(key, value);
    return this;
  }

  /** Adds a write of a key that is deleted once the lease ends. */
  public Transaction write(String key, ObjectNode value, long leaseId) {
    addWrite(key, value).put(StoreProtocol.LEASE_ID, leaseId);
    return this;
  }

  private ObjectNode addWrite(String key, ObjectNode value) {
    lastKey = key;
    writes.put(key, value);
    ObjectNode operation = operations.addObject().put(StoreProtocol.WRITE, key);
    operation.set(StoreProtocol.VALUE, value);
    return operation;
  }

  /** Adds a deletion. */
  public Transaction drop(String key) {
    operations.addObject().put(StoreProtocol.DROP, key);
    return this;
  }

  /**
   * The transaction belongs to no incarnation: it begins one, or writes under names that no other
   * incarnation has.
   */
  public Transaction unfenced() {
    fenced = false;
    return this;
  }

  /** The last key that it writes; null if it writes none. */
  String lastKey() {
    return lastKey;
  }

  /** The values that it writes, by key. */
  public Map<String, ObjectNode> writes() {
    return writes;
  }

  /** Whether it is to condition on the fence of the present incarnation. */
  boolean fenced() {
    return fenced;
  }

  /** Number of changes that it counts as under the store's limits. */
  public int changes() {
    return operations.size();
  }

  byte[] bytes() {
    // The service takes a transaction for a mere comparison only without the field of operations.
    return Json.bytes(
        operations.isEmpty() ? Json.object().set(StoreProtocol.CONDITIONS, conditions) : body);
  }
}
