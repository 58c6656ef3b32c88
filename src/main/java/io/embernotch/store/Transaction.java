package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;

/** A transaction being put together, with what it costs. */
public final class Transaction {
  /** The service takes 64 KiB; the rest is for names and conditions. */
  public static final int MAX_BYTES = 60 * 1024;

  private final ObjectNode body = Json.object();
  private final ArrayNode when = body.putArray("when");
  private final ArrayNode apply = body.putArray("apply");
  private boolean fenced = true;
  private String lastKey;

  public Transaction when(String key, long modRevision) {
    when.addObject().put("key", key).put("stamp", modRevision);
    return this;
  }

  public Transaction write(String key, ObjectNode value) {
    lastKey = key;
    apply.addObject().put("write", key).set("v", value);
    return this;
  }

  public Transaction write(String key, ObjectNode value, long leaseId) {
    lastKey = key;
    ObjectNode o = apply.addObject().put("write", key);
    o.set("v", value);
    o.put("permit", leaseId);
    return this;
  }

  public Transaction drop(String key) {
    apply.addObject().put("drop", key);
    return this;
  }

  /**
   * It belongs to no incarnation: it begins one, or writes under names that no other incarnation
   * has.
   */
  public Transaction unfenced() {
    fenced = false;
    return this;
  }

  /** A key that it writes; null if it writes none. */
  String lastKey() {
    return lastKey;
  }

  boolean fenced() {
    return fenced;
  }

  public int changes() {
    return apply.size();
  }

  byte[] bytes() {
    // Without the field a transaction only compares.
    return Json.bytes(apply.isEmpty() ? Json.object().set("when", when) : body);
  }
}
