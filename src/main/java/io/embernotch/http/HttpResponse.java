package io.embernotch.http;

import io.embernotch.codec.Json;

/**
 * This node's response to a request.
 *
 * @param status HTTP status
 * @param body JSON body
 * @param retryAfterS seconds after which the caller is to try again; 0: not said
 */
@SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
public record HttpResponse(int status, byte[] body, int retryAfterS) {
  private static final int SERVICE_UNAVAILABLE = 503;

  /** A response without a time to try again. */
  public static HttpResponse of(int status, byte[] body) {
    return new HttpResponse(status, body, 0);
  }

  /** A response that says in its body why the request failed. */
  public static HttpResponse error(int status, String why) {
    return of(status, reason(why));
  }

  /** The request cannot be served now: the caller is to try again in a second. */
  public static HttpResponse unavailable(String why) {
    return unavailable(why, 1);
  }

  /**
   * The request cannot be served now.
   *
   * @param retryAfterS seconds after which the caller is to try again; at least 1 is said
   */
  public static HttpResponse unavailable(String why, int retryAfterS) {
    return new HttpResponse(SERVICE_UNAVAILABLE, reason(why), Math.max(1, retryAfterS));
  }

  private static byte[] reason(String why) {
    return Json.bytes(Json.object().put("error", why));
  }
}
