package io.embernotch.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;

/**
 * A server's reply to a call.
 *
 * @param status HTTP status
 * @param body body of the reply, possibly empty
 */
@SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
public record HttpReply(int status, byte[] body) {
  /**
   * The body as a JSON object.
   *
   * @throws io.embernotch.codec.MalformedInputException if it is none
   */
  public ObjectNode json() {
    return Json.parseObject(body);
  }
}
