package io.embernotch.agents;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Machine;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CallConcurrencyLimiterTest {
  private final CallConcurrencyLimiter callLimiter = new CallConcurrencyLimiter(8);
  private final List<String> begun = new ArrayList<>();

  private void call(String name, CallConcurrencyLimiter.CallClass callClass) {
    Machine machine = new Machine(name);
    call(machine, callClass);
  }

  private void call(Machine machine, CallConcurrencyLimiter.CallClass callClass) {
    if (callLimiter.tryAcquire(machine, callClass, () -> call(machine, callClass))) {
      begun.add(machine.name);
    }
  }

  /**
   * After a takeover a thousand calls left at once, and live services' starts found no connection.
   */
  @Test
  void liveServicesGoBeforeWhatWaitsAndSilentMachinesTakeAQuarterAtMost() {
    for (int i = 0; i < 5; i++) {
      call("silent-" + i, CallConcurrencyLimiter.CallClass.UNRESPONSIVE);
    }
    assertThat(begun).containsExactly("silent-0", "silent-1");
    for (int i = 0; i < 5; i++) {
      call("usual-" + i, CallConcurrencyLimiter.CallClass.NORMAL);
    }
    assertThat(begun).endsWith("usual-0", "usual-1").hasSize(4);
    for (int i = 0; i < 5; i++) {
      call("live-" + i, CallConcurrencyLimiter.CallClass.PRODUCTION);
    }
    assertThat(begun).endsWith("live-2", "live-3").hasSize(8);
    callLimiter.release();
    assertThat(begun).endsWith("live-4").hasSize(9);
    for (int i = 0; i < 4; i++) {
      callLimiter.release();
    }
    assertThat(begun).hasSize(9);
    callLimiter.release();
    assertThat(begun).endsWith("usual-2").hasSize(10);
  }

  @Test
  void whoHasNothingToSayAnyMoreMakesWayForTheNext() {
    Machine machine = new Machine("gone");
    callLimiter.tryAcquire(new Machine("a"), CallConcurrencyLimiter.CallClass.DISCOVERY, () -> {});
    assertThat(
            callLimiter.tryAcquire(
                machine, CallConcurrencyLimiter.CallClass.DISCOVERY, () -> begun.add("nothing")))
        .isFalse();
    call("next", CallConcurrencyLimiter.CallClass.DISCOVERY);
    callLimiter.release();
    assertThat(begun).containsExactly("nothing", "next");
  }

  @Test
  void tellsWhichCommandsWait() {
    Machine machine = new Machine("m");
    for (int i = 0; i < 4; i++) {
      call("usual-" + i, CallConcurrencyLimiter.CallClass.NORMAL);
    }
    assertThat(callLimiter.isCommandQueued(machine)).isFalse();
    call(machine, CallConcurrencyLimiter.CallClass.NORMAL);
    assertThat(callLimiter.isCommandQueued(machine)).isTrue();
    callLimiter.release();
    assertThat(callLimiter.isCommandQueued(machine)).isFalse();
  }
}
