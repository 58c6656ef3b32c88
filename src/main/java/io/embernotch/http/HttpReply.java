package io.embernotch.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;

/** What a server answered to a call. */
public record HttpReply(int status, byte[] body) {
  public ObjectNode json() {
    return Json.parseObject(body);
  }
}
