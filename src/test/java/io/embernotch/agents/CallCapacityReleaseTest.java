package io.embernotch.agents;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpReply;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.TestContexts;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a call to a machine releases its capacity however it ends. If capacity leaks, this
 * leader eventually sends no more commands and probes.
 *
 * <p>Capacity leaked when the machine's address was malformed, since parsing it threw an exception
 * after the capacity was acquired and the machine was marked as being probed, and when the handler
 * of the response threw. With a limit of eight calls, two malformed addresses stopped all probes.
 */
class CallCapacityReleaseTest {
  private static final String STATUS =
      "{\"hearth\":\"n-1\",\"address\":\"10.0.1.1:9000\",\"flavor\":\"g8\",\"room\":\"z1\",\"loaner\":false,"
          + "\"tenure\":1,\"tick\":1,\"baton\":0,\"recall_s\":null,\"shards\":[]}";

  private final FakeTime time = new FakeTime();
  private final Settings settings =
      SettingsReader.parse(
          SimulatedCluster.settingsToml(0)
              .replace("max_connections = 1000", "max_connections = 40"));
  private final List<Promise<HttpReply>> replies = new ArrayList<>();
  private boolean callThrows;
  private final CallConcurrencyLimiter callLimiter =
      new CallConcurrencyLimiter(settings.quota().directCalls());

  private Future<HttpReply> call() {
    if (callThrows) {
      throw new IllegalStateException("simulated failure");
    }
    Promise<HttpReply> reply = Promise.promise();
    replies.add(reply);
    return reply.future();
  }

  private StatusProber prober(BiConsumer<Heartbeat, Machine> reconcile) {
    ControllerContext context =
        TestContexts.withWorkers(settings, time, (method, to, path, body, timeoutS) -> call());
    return new StatusProber(context, callLimiter, new ReachabilityTracker(1, 3), 2, reconcile);
  }

  private static Machine machine(int index, String address) {
    Machine machine = new Machine("n-" + index);
    machine.address = address;
    return machine;
  }

  private void assertNextProbeIsSent(StatusProber prober) {
    int before = replies.size();
    callThrows = false;
    prober.probe(machine(99, "10.0.1.99:9000"));
    assertThat(replies).hasSize(before + 1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"nowhere", "", ":9000", "10.0.1.1:x", "10.0.1.1:99999"})
  void malformedAddressLeaksNoCapacity(String address) {
    StatusProber prober = prober((heartbeat, machine) -> {});
    for (int i = 0; i < 20; i++) {
      Machine machine = machine(i, address);
      prober.probe(machine);
      prober.discover(machine);
      assertThat(machine.probing).isFalse();
    }
    assertNextProbeIsSent(prober);
  }

  @Test
  void callThatThrowsLeaksNoCapacity() {
    StatusProber prober = prober((heartbeat, machine) -> {});
    callThrows = true;
    for (int i = 0; i < 20; i++) {
      Machine machine = machine(i, "10.0.1.1:9000");
      prober.probe(machine);
      assertThat(machine.probing).isFalse();
    }
    assertNextProbeIsSent(prober);
  }

  @Test
  void responseHandlerThatThrowsLeaksNoCapacity() {
    StatusProber prober =
        prober(
            (heartbeat, machine) -> {
              throw new IllegalStateException("simulated failure");
            });
    for (int i = 0; i < 20; i++) {
      prober.probe(machine(i, "10.0.1.1:9000"));
      Promise<HttpReply> reply = replies.get(replies.size() - 1);
      reply.tryComplete(new HttpReply(200, STATUS.getBytes(StandardCharsets.UTF_8)));
    }
    assertNextProbeIsSent(prober);
  }

  /** A queued call that throws must not stop the queue. */
  @Test
  void queuedCallThatThrowsDoesNotStopTheQueue() {
    List<String> run = new ArrayList<>();
    int acquired = 0;
    while (callLimiter.tryAcquire(
        machine(acquired, null), CallConcurrencyLimiter.CallClass.PRODUCTION, () -> {})) {
      acquired++;
    }
    callLimiter.tryAcquire(
        machine(100, null),
        CallConcurrencyLimiter.CallClass.PRODUCTION,
        () -> {
          throw new IllegalStateException("simulated failure");
        });
    assertThatThrownBy(callLimiter::release).hasMessage("simulated failure");
    assertThat(
            callLimiter.tryAcquire(
                machine(101, null), CallConcurrencyLimiter.CallClass.PRODUCTION, () -> {}))
        .isTrue();
    callLimiter.tryAcquire(
        machine(102, null), CallConcurrencyLimiter.CallClass.PRODUCTION, () -> run.add("next"));
    callLimiter.release();
    assertThat(run).containsExactly("next");
  }
}
