package io.embernotch.http;

import io.embernotch.codec.Json;

/** What this node answers to a request; {@code retryAfterS} is 0 unless the caller is to wait. */
public record HttpResponse(int status, byte[] body, int retryAfterS) {
  public static HttpResponse of(int status, byte[] body) {
    return new HttpResponse(status, body, 0);
  }

  public static HttpResponse error(int status, String why) {
    return of(status, reason(why));
  }

  /** Cannot be taken now: the caller is told at once when to come back. */
  public static HttpResponse later(String why) {
    return later(why, 1);
  }

  public static HttpResponse later(String why, int retryAfterS) {
    return new HttpResponse(503, reason(why), Math.max(1, retryAfterS));
  }

  private static byte[] reason(String why) {
    return Json.bytes(Json.object().put("error", why));
  }
}
