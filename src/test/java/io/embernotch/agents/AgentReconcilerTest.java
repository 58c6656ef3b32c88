package io.embernotch.agents;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpCaller;
import io.embernotch.http.HttpReply;
import io.embernotch.model.Attempt;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.state.ClusterState;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.TestJobs;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests commands queued by the call limit, and attempts whose start command was lost. */
class AgentReconcilerTest implements AgentReconciler.Listener {
  private static final long EPOCH = 7;

  private final FakeTime time = new FakeTime();
  private final Settings settings =
      SettingsReader.parse(
          SimulatedCluster.settingsToml(0)
              .replace("max_connections = 1000", "max_connections = 40"));
  private final List<String> calls = new ArrayList<>();
  private final List<Promise<HttpReply>> replies = new ArrayList<>();
  private final HttpCaller caller =
      (method, to, path, body, timeoutS) -> {
        Promise<HttpReply> reply = Promise.promise();
        calls.add(to.host() + path);
        replies.add(reply);
        return reply.future();
      };
  private final ClusterState state = new ClusterState();
  private final AgentReconciler agents =
      new AgentReconciler(
          new ControllerContext(
              settings,
              OperatorSettings.DEFAULTS,
              time,
              time,
              time,
              EventLoopProfile.NONE,
              null,
              null,
              caller,
              null,
              null),
          state,
          EPOCH,
          new RenewalDelegations(settings, time.now(), new HashSet<>()),
          this);
  private final Job job =
      new Job(
          JobCodec.read(
              Json.parseObject(TestJobs.job("j-1", "array", 16).getBytes(StandardCharsets.UTF_8))),
          0);
  private boolean leading = true;
  private final List<Attempt> endedAttempts = new ArrayList<>();

  /** A machine whose first heartbeat has just arrived, with a committed start. */
  private Machine machineWithDueStart(int index) {
    Machine machine = state.machine("n-" + index, agents.tokenBase());
    agents.processWithoutReply(heartbeat(index, 1));
    state.openAttempt(job, index, 1, machine, time.now()).launchState = Attempt.LaunchState.READY;
    return machine;
  }

  private static Heartbeat heartbeat(int index, long seq) {
    return new Heartbeat(
        "n-" + index, "10.0.1." + index + ":9000", "g8", "z1", false, 1, seq, 0, null, List.of());
  }

  @Test
  void queuedStartIsSentWithAHeartbeatResponseAndOnlyOnce() {
    for (int i = 0; i < 5; i++) {
      agents.sendDueCommands(machineWithDueStart(i));
    }
    // Commands may use half of the eight calls that may be in flight.
    assertThat(calls).hasSize(4).doesNotContain("10.0.1.4/do");
    assertThat(
            new String(agents.processHeartbeat(heartbeat(4, 2), true, 0), StandardCharsets.UTF_8))
        .contains("\"run\"")
        .contains("j-1/4");
    replies.get(0).fail(new CallFailedException(true, "no answer in time"));
    assertThat(calls).hasSize(4);
    assertThat(
            new String(agents.processHeartbeat(heartbeat(3, 2), true, 0), StandardCharsets.UTF_8))
        .doesNotContain("\"run\"");
  }

  @Test
  void queuedStartIsSentOnceACallHasEnded() {
    for (int i = 0; i < 5; i++) {
      agents.sendDueCommands(machineWithDueStart(i));
    }
    replies.get(0).fail(new CallFailedException(true, "no answer in time"));
    assertThat(calls).hasSize(5).endsWith("10.0.1.4/do");
  }

  /**
   * Once leadership is lost, neither a queued call nor one that follows a response may start a
   * task.
   */
  @Test
  void queuedStartIsNotSentOnceLeadershipIsLost() {
    for (int i = 0; i < 5; i++) {
      agents.sendDueCommands(machineWithDueStart(i));
    }
    leading = false;
    replies.get(0).fail(new CallFailedException(true, "no answer in time"));
    assertThat(calls).hasSize(4);
    agents.sendDueCommands(machineWithDueStart(5));
    assertThat(calls).hasSize(4);
  }

  @Test
  void machinesWithoutAHeartbeatAreProbedAFewAtATime() {
    for (int i = 0; i < 3; i++) {
      state.machine("n-" + i, agents.tokenBase()).address = "10.0.1." + i + ":9000";
      agents.discover(state.machines.get("n-" + i));
    }
    assertThat(calls).containsExactly("10.0.1.0/status");
    agents.processWithoutReply(heartbeat(1, 1));
    replies.get(0).fail(new CallFailedException(true, "no answer in time"));
    assertThat(calls).containsExactly("10.0.1.0/status", "10.0.1.2/status");
  }

  /**
   * If a gang is stopped while a start command is in a heartbeat response that is lost, the attempt
   * must not stay open forever.
   */
  @Test
  void stoppingAttemptEndsOnceNoCopyOfItsStartIsInFlight() {
    Machine machine = machineWithDueStart(1);
    machine.commandFailedAt = time.now();
    Attempt attempt = machine.openAttempts.values().iterator().next();
    assertThat(
            new String(agents.processHeartbeat(heartbeat(1, 2), true, 0), StandardCharsets.UTF_8))
        .contains("\"run\"");
    attempt.stopping = true;
    agents.processHeartbeat(heartbeat(1, 3), true, 0);
    assertThat(endedAttempts).containsExactly(attempt);
  }

  @Override
  public void taskRunning(Attempt attempt, Machine machine) {}

  @Override
  public void taskExited(Attempt attempt, Machine machine, ExitCause cause, boolean saved) {}

  @Override
  public void attemptLost(Attempt attempt, Machine machine, String why) {
    endedAttempts.add(attempt);
  }

  @Override
  public void superseded(long token) {}

  @Override
  public void unissuedTokenSeen(Machine machine, long token) {}

  @Override
  public void unexpectedTaskReported(Machine machine, String ref) {}

  @Override
  public void clusterChanged() {}

  @Override
  public boolean isLeading() {
    return leading;
  }

  @Override
  public boolean isOutcomePersisted(String ref, int task) {
    return false;
  }
}
