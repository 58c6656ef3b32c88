package io.embernotch.agents;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Machine;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CallConcurrencyLimiterTest {
  private final CallConcurrencyLimiter lanes = new CallConcurrencyLimiter(8);
  private final List<String> begun = new ArrayList<>();

  private void call(String name, CallConcurrencyLimiter.Need need) {
    Machine m = new Machine(name);
    call(m, need);
  }

  private void call(Machine m, CallConcurrencyLimiter.Need need) {
    if (lanes.enter(m, need, () -> call(m, need))) {
      begun.add(m.name);
    }
  }

  /**
   * After a takeover a thousand calls left at once, and live services' starts found no connection.
   */
  @Test
  void liveServicesGoBeforeWhatWaitsAndSilentMachinesTakeAQuarterAtMost() {
    for (int i = 0; i < 5; i++) {
      call("silent-" + i, CallConcurrencyLimiter.Need.SILENT);
    }
    assertThat(begun).containsExactly("silent-0", "silent-1");
    for (int i = 0; i < 5; i++) {
      call("usual-" + i, CallConcurrencyLimiter.Need.USUAL);
    }
    assertThat(begun).endsWith("usual-0", "usual-1").hasSize(4);
    for (int i = 0; i < 5; i++) {
      call("live-" + i, CallConcurrencyLimiter.Need.LIVE);
    }
    assertThat(begun).endsWith("live-2", "live-3").hasSize(8);
    lanes.leave();
    assertThat(begun).endsWith("live-4").hasSize(9);
    for (int i = 0; i < 4; i++) {
      lanes.leave();
    }
    assertThat(begun).hasSize(9);
    lanes.leave();
    assertThat(begun).endsWith("usual-2").hasSize(10);
  }

  @Test
  void whoHasNothingToSayAnyMoreMakesWayForTheNext() {
    Machine m = new Machine("gone");
    lanes.enter(new Machine("a"), CallConcurrencyLimiter.Need.FIND, () -> {});
    assertThat(lanes.enter(m, CallConcurrencyLimiter.Need.FIND, () -> begun.add("nothing"))).isFalse();
    call("next", CallConcurrencyLimiter.Need.FIND);
    lanes.leave();
    assertThat(begun).containsExactly("nothing", "next");
  }

  @Test
  void tellsWhichCommandsWait() {
    Machine m = new Machine("m");
    for (int i = 0; i < 4; i++) {
      call("usual-" + i, CallConcurrencyLimiter.Need.USUAL);
    }
    assertThat(lanes.waits(m)).isFalse();
    call(m, CallConcurrencyLimiter.Need.USUAL);
    assertThat(lanes.waits(m)).isTrue();
    lanes.leave();
    assertThat(lanes.waits(m)).isFalse();
  }
}
