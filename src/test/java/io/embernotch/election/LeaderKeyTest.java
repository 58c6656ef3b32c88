package io.embernotch.election;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.store.VersionedEntry;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The stored format of the leader key, which controllers of other versions read. */
class LeaderKeyTest {
  private static final String STORED =
      "{\"node\":\"c1\",\"permit\":42,\"relay\":true,\"era\":\"c0-7\",\"floor\":16777216}";

  private static final LeaderKey KEY = new LeaderKey("c1", 42, true, "c0-7", 1L << 24);

  @Test
  void writesTheStoredForm() {
    assertThat(LeaderKey.NAME).isEqualTo("steward");
    assertThat(new String(Json.bytes(KEY.write()), StandardCharsets.UTF_8)).isEqualTo(STORED);
  }

  @Test
  void readsTheStoredForm() {
    assertThat(LeaderKey.read(entry(STORED))).contains(KEY);
  }

  @Test
  void fieldsMissingInFormerVersionsHaveDefaults() {
    assertThat(LeaderKey.read(entry("{\"node\":\"c1\",\"permit\":42}")))
        .contains(new LeaderKey("c1", 42, false, "", 0));
  }

  @Test
  void absentKeyIsReadAsEmpty() {
    assertThat(LeaderKey.read(new VersionedEntry(LeaderKey.NAME, null, 0))).isEmpty();
  }

  private static VersionedEntry entry(String value) {
    return new VersionedEntry(
        LeaderKey.NAME, Json.parseObject(value.getBytes(StandardCharsets.UTF_8)), 9);
  }
}
