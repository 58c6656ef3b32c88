package io.embernotch.actor;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class EventLoopProfileTest {
  private long nanos;
  private final EventLoopProfile work = new EventLoopProfile(() -> nanos);

  private void pass(int ms) {
    nanos += ms * 1_000_000L;
  }

  @Test
  void eachCauseHasWhatItTookWithoutWhatItRanForOthers() {
    work.run(
        "report",
        () -> {
          pass(3);
          work.run("command", () -> pass(20));
          work.run("command", () -> pass(10));
          pass(2);
        });
    work.run("report", () -> pass(1));
    assertThat(work.line()).isEqualTo("command 2 in 30 ms, report 2 in 6 ms");
    assertThat(work.line()).isNull();
  }

  @Test
  void whatFailsIsCountedAndFailsAllTheSame() {
    assertThatThrownBy(
            () ->
                work.run(
                    "plan",
                    () -> {
                      pass(7);
                      throw new IllegalStateException("no");
                    }))
        .hasMessage("no");
    assertThat(work.line()).isEqualTo("plan 1 in 7 ms");
  }
}
