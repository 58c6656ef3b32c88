package io.embernotch.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.http.HttpReply;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the store client's rate limits and the order in which requests are granted. */
class StoreClientTest {
  private final FakeTime time = new FakeTime();
  private final Settings settings = SettingsReader.parse(SimulatedCluster.settingsToml(0));

  @Test
  void throttledRequestsAreRetriedWithinTheRateLimit() {
    // Retries without a rate limit make 1,400 requests per second, and the store refuses lease
    // requests too.
    int[] calls = new int[1];
    StoreClient store =
        new StoreClient(
            (method, to, path, body, timeout) -> {
              calls[0]++;
              return Future.succeededFuture(
                  new HttpReply(429, "{}".getBytes(StandardCharsets.UTF_8)));
            },
            time,
            time,
            settings);
    store.setLeading(true);
    for (int i = 0; i < 500; i++) {
      String key = "job/" + i;
      store.requestWriteSlot(
          1,
          RequestPriority.NORMAL,
          () ->
              store.commitInWriteSlot(
                  new Transaction().when(key, 0).write(key, Json.object()),
                  RequestPriority.NORMAL));
    }
    time.advance(5);
    assertThat(calls[0])
        .isLessThanOrEqualTo((int) (settings.storeLimits().writeRps() * 0.7 * 5.5) + 1);
    assertThat(calls[0]).isGreaterThan(100);
  }

  @Test
  void highPriorityGoesBeforeNormalAndBackgroundWaitsForHalfTheBurst() {
    RateLimiter limiter = new RateLimiter(time, time, 10, 1);
    List<String> granted = new ArrayList<>();
    limiter.acquire(10, RequestPriority.NORMAL, () -> granted.add("burst"));
    limiter.acquire(1, RequestPriority.BACKGROUND, () -> granted.add("background"));
    limiter.acquire(1, RequestPriority.NORMAL, () -> granted.add("normal"));
    limiter.acquire(1, RequestPriority.HIGH, () -> granted.add("high"));
    time.advance(0.25);
    assertThat(granted).containsExactly("burst", "high", "normal");
    time.advance(0.3);
    assertThat(granted).hasSize(3);
    time.advance(0.3);
    assertThat(granted).containsExactly("burst", "high", "normal", "background");
  }
}
