package io.embernotch.actor;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Times by cause. */
class EventLoopProfileTest {
  private long nanos;
  private final EventLoopProfile profile = new EventLoopProfile(() -> nanos);

  private void pass(int ms) {
    nanos += ms * 1_000_000L;
  }

  @Test
  void nestedRunsCountForTheirOwnCauseAlone() {
    profile.run(
        "report",
        () -> {
          pass(3);
          profile.run("command", () -> pass(20));
          profile.run("command", () -> pass(10));
          pass(2);
        });
    profile.run("report", () -> pass(1));
    assertThat(profile.line()).isEqualTo("command 2 in 30 ms, report 2 in 6 ms");
    assertThat(profile.line()).isNull();
  }

  @Test
  void aFailingTaskIsCountedAndItsFailurePropagates() {
    assertThatThrownBy(
            () ->
                profile.run(
                    "plan",
                    () -> {
                      pass(7);
                      throw new IllegalStateException("no");
                    }))
        .hasMessage("no");
    assertThat(profile.line()).isEqualTo("plan 1 in 7 ms");
  }
}
