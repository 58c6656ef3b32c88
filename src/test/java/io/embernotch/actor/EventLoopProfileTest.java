package io.embernotch.actor;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** The event loop profile: time by cause, without what nested causes took. */
class EventLoopProfileTest {
  private long nanos;
  private final EventLoopProfile profile = new EventLoopProfile(() -> nanos);

  private void advance(int ms) {
    nanos += ms * 1_000_000L;
  }

  @Test
  void timeOfACauseExcludesNestedCauses() {
    profile.run(
        "report",
        () -> {
          advance(3);
          profile.run("command", () -> advance(20));
          profile.run("command", () -> advance(10));
          advance(2);
        });
    profile.run("report", () -> advance(1));
    assertThat(profile.line()).isEqualTo("command 2 in 30 ms, report 2 in 6 ms");
    assertThat(profile.line()).isNull();
  }

  @Test
  void failingTaskIsCountedAndItsErrorRethrown() {
    assertThatThrownBy(
            () ->
                profile.run(
                    "plan",
                    () -> {
                      advance(7);
                      throw new IllegalStateException("no");
                    }))
        .hasMessage("no");
    assertThat(profile.line()).isEqualTo("plan 1 in 7 ms");
  }
}
