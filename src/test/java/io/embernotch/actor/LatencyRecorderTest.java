package io.embernotch.actor;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LatencyRecorderTest {
  @Test
  void tellsWhatWasSeenSinceTheLastLine() {
    LatencyRecorder l = new LatencyRecorder();
    assertThat(l.line()).isNull();
    for (int i = 1; i <= 100; i++) {
      l.record("poll", i / 1000.0);
    }
    l.record("submit", 1e9);
    assertThat(l.line())
        .isEqualTo(
            "poll 100: p50 50, p95 95, max 100 ms; submit 1: p50 60159, p95 60159, max 60159 ms");
    assertThat(l.line()).isNull();
  }
}
