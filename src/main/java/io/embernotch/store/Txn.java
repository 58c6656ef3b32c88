package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;

/** A transaction being put together, with what it costs. */
public final class Txn {
  private final ObjectNode body = Json.object();
  private final ArrayNode when = body.putArray("when");
  private final ArrayNode apply = body.putArray("apply");

  public Txn when(String key, long stamp) {
    when.addObject().put("key", key).put("stamp", stamp);
    return this;
  }

  public Txn write(String key, ObjectNode value) {
    apply.addObject().put("write", key).set("v", value);
    return this;
  }

  public Txn write(String key, ObjectNode value, long permit) {
    ObjectNode o = apply.addObject().put("write", key);
    o.set("v", value);
    o.put("permit", permit);
    return this;
  }

  public Txn drop(String key) {
    apply.addObject().put("drop", key);
    return this;
  }

  public int changes() {
    return apply.size();
  }

  byte[] bytes() {
    return Json.bytes(body);
  }
}
