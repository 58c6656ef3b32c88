package io.embernotch.agents;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Machine;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which calls of different classes are admitted. */
class CallConcurrencyLimiterTest {
  private final CallConcurrencyLimiter callLimiter = new CallConcurrencyLimiter(8);
  private final List<String> begunCalls = new ArrayList<>();

  private void call(String name, CallConcurrencyLimiter.CallClass callClass) {
    Machine machine = new Machine(name);
    call(machine, callClass);
  }

  private void call(Machine machine, CallConcurrencyLimiter.CallClass callClass) {
    if (callLimiter.tryAcquire(machine, callClass, () -> call(machine, callClass))) {
      begunCalls.add(machine.name);
    }
  }

  /**
   * After a failover a thousand calls are due at once. Starts of production services must still get
   * a connection.
   */
  @Test
  void productionCallsComeFirstAndUnresponsiveMachinesUseAtMostAQuarter() {
    for (int i = 0; i < 5; i++) {
      call("unresponsive-" + i, CallConcurrencyLimiter.CallClass.UNRESPONSIVE);
    }
    assertThat(begunCalls).containsExactly("unresponsive-0", "unresponsive-1");
    for (int i = 0; i < 5; i++) {
      call("normal-" + i, CallConcurrencyLimiter.CallClass.NORMAL);
    }
    assertThat(begunCalls).endsWith("normal-0", "normal-1").hasSize(4);
    for (int i = 0; i < 5; i++) {
      call("production-" + i, CallConcurrencyLimiter.CallClass.PRODUCTION);
    }
    assertThat(begunCalls).endsWith("production-2", "production-3").hasSize(8);
    callLimiter.release();
    assertThat(begunCalls).endsWith("production-4").hasSize(9);
    for (int i = 0; i < 4; i++) {
      callLimiter.release();
    }
    assertThat(begunCalls).hasSize(9);
    callLimiter.release();
    assertThat(begunCalls).endsWith("normal-2").hasSize(10);
  }

  @Test
  void queuedCallWithNothingToSendLetsTheNextBegin() {
    Machine machine = new Machine("idle");
    callLimiter.tryAcquire(new Machine("a"), CallConcurrencyLimiter.CallClass.DISCOVERY, () -> {});
    assertThat(
            callLimiter.tryAcquire(
                machine,
                CallConcurrencyLimiter.CallClass.DISCOVERY,
                () -> begunCalls.add("nothing")))
        .isFalse();
    call("next", CallConcurrencyLimiter.CallClass.DISCOVERY);
    callLimiter.release();
    assertThat(begunCalls).containsExactly("nothing", "next");
  }

  @Test
  void callOfAMachineIsQueuedOnceAndLeavesTheQueueOnceItBegins() {
    Machine machine = new Machine("n-1");
    for (int i = 0; i < 4; i++) {
      call("normal-" + i, CallConcurrencyLimiter.CallClass.NORMAL);
    }
    call(machine, CallConcurrencyLimiter.CallClass.NORMAL);
    call(machine, CallConcurrencyLimiter.CallClass.NORMAL);
    assertThat(begunCalls).hasSize(4).doesNotContain("n-1");
    callLimiter.release();
    assertThat(begunCalls).hasSize(5).endsWith("n-1");
    callLimiter.release();
    assertThat(begunCalls).hasSize(5);
  }
}
