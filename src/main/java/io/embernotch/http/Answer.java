package io.embernotch.http;

import io.embernotch.codec.Json;

/** What this node answers to a request; {@code retryAfterS} is 0 unless the caller is to wait. */
public record Answer(int status, byte[] body, int retryAfterS) {
  public static Answer of(int status, byte[] body) {
    return new Answer(status, body, 0);
  }

  public static Answer error(int status, String why) {
    return of(status, reason(why));
  }

  /** Cannot be taken now: the caller is told at once when to come back. */
  public static Answer later(String why) {
    return later(why, 1);
  }

  public static Answer later(String why, int retryAfterS) {
    return new Answer(503, reason(why), Math.max(1, retryAfterS));
  }

  private static byte[] reason(String why) {
    return Json.bytes(Json.object().put("error", why));
  }
}
