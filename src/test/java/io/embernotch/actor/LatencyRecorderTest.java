package io.embernotch.actor;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The summary line of recorded latencies. */
class LatencyRecorderTest {
  @Test
  void lineSummarizesWhatWasRecordedSinceTheLast() {
    LatencyRecorder recorder = new LatencyRecorder();
    assertThat(recorder.line()).isNull();
    for (int i = 1; i <= 100; i++) {
      recorder.record("poll", i / 1000.0);
    }
    recorder.record("submit", 1e9);
    assertThat(recorder.line())
        .isEqualTo(
            "poll 100: p50 50, p95 95, max 100 ms; submit 1: p50 60159, p95 60159, max 60159 ms");
    assertThat(recorder.line()).isNull();
  }
}
