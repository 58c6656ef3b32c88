package io.embernotch.agents;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.WorkerCodec;
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
import io.embernotch.testkit.FakeWorker;
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
  private final List<byte[]> bodies = new ArrayList<>();
  private final List<Promise<HttpReply>> replies = new ArrayList<>();
  private final HttpCaller caller =
      (method, to, path, body, timeoutS) -> {
        Promise<HttpReply> reply = Promise.promise();
        calls.add(to.host() + path);
        bodies.add(body);
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

  /**
   * Guards against starts that the network can repeat: only the response to a heartbeat carries
   * one, and only once, whether the request for that heartbeat is queued or in flight.
   */
  @Test
  void startIsSentWithTheHeartbeatResponseAloneAndOnlyOnce() {
    for (int i = 0; i < 5; i++) {
      agents.sendDueCommands(machineWithDueStart(i));
    }
    // Commands may use half of the eight calls that may be in flight.
    assertThat(calls).hasSize(4).doesNotContain("10.0.1.4/do");
    assertThat(bodies).extracting(AgentReconcilerTest::text).noneMatch(s -> s.contains("run"));
    for (int i = 3; i < 5; i++) {
      assertThat(text(agents.processHeartbeat(heartbeat(i, 2), true, 0)))
          .contains("\"run\"")
          .contains("j-1/" + i);
      assertThat(text(agents.processHeartbeat(heartbeat(i, 2), true, 0))).doesNotContain("\"run\"");
    }
    replies.get(0).fail(new CallFailedException(true, "no answer in time"));
    assertThat(calls).hasSize(4);
  }

  @Test
  void queuedHeartbeatRequestIsSentOnceACallHasEnded() {
    for (int i = 0; i < 5; i++) {
      agents.sendDueCommands(machineWithDueStart(i));
    }
    replies.get(0).fail(new CallFailedException(true, "no answer in time"));
    assertThat(calls).hasSize(5).endsWith("10.0.1.4/do");
  }

  /**
   * Once leadership is lost, neither a queued call nor one that follows a response may lead to a
   * start, and no response carries one.
   */
  @Test
  void startIsNotSentOnceLeadershipIsLost() {
    for (int i = 0; i < 5; i++) {
      agents.sendDueCommands(machineWithDueStart(i));
    }
    leading = false;
    replies.get(0).fail(new CallFailedException(true, "no answer in time"));
    assertThat(calls).hasSize(4);
    agents.sendDueCommands(machineWithDueStart(5));
    assertThat(calls).hasSize(4);
    assertThat(text(agents.processHeartbeat(heartbeat(5, 2), false, 0))).doesNotContain("run");
  }

  /** The agent reports a higher token at once, but not more often than once in half a lease. */
  @Test
  void heartbeatIsRequestedWithAHigherTokenAtMostOncePerHalfLease() {
    Machine machine = machineWithDueStart(1);
    FakeWorker agent = new FakeWorker(machine.name, "g8", "z1", false, machine.address, time.now());
    agent.sequence = machine.heartbeatSeq;
    long reported = agent.fencingToken;
    agents.sendDueCommands(machine);
    replies.get(0).complete(agent.executeCommands(bodies.get(0)));
    assertThat(agent.fencingToken).isGreaterThan(reported);
    reported = agent.fencingToken;
    time.advance(4);
    agents.sendDueCommands(machine);
    replies.get(1).complete(agent.executeCommands(bodies.get(1)));
    assertThat(agent.fencingToken).isEqualTo(reported);
    time.advance(12);
    agents.sendDueCommands(machine);
    replies.get(2).complete(agent.executeCommands(bodies.get(2)));
    assertThat(agent.fencingToken).isGreaterThan(reported);
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

  /** An agent whose heartbeat is answered with the start of the machine's attempt. */
  private FakeWorker agentWithStartInHeartbeatResponse(Machine machine) {
    FakeWorker agent = new FakeWorker(machine.name, "g8", "z1", false, machine.address, time.now());
    agent.sequence = machine.heartbeatSeq;
    machine.commandFailedAt = time.now();
    assertThat(text(agents.processHeartbeat(WorkerCodec.read(agent.heartbeat()), true, 0)))
        .contains("\"run\"");
    time.advance(3);
    return agent;
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Guards against a task that runs twice, or after its cancellation: the response to a direct stop
   * was taken for proof that a start was never executed, while the heartbeat response with the
   * start was still in flight.
   */
  @Test
  void callResponseDoesNotProveThatAStartInAHeldHeartbeatResponseWasDropped() {
    Machine machine = machineWithDueStart(1);
    Attempt attempt = machine.openAttempts.values().iterator().next();
    FakeWorker agent = agentWithStartInHeartbeatResponse(machine);
    attempt.stopping = true;
    agents.sendDueCommands(machine);
    replies.get(0).complete(agent.executeCommands(bodies.get(0)));
    agents.probe(machine);
    replies.get(1).complete(new HttpReply(200, agent.heartbeat()));
    assertThat(calls).containsExactly("10.0.1.1/do", "10.0.1.1/status");
    assertThat(endedAttempts).isEmpty();
    // The agent has executed or dropped the response before it sends another heartbeat.
    agents.processHeartbeat(WorkerCodec.read(agent.heartbeat()), true, 0);
    assertThat(endedAttempts).containsExactly(attempt);
  }

  /** The agent drops a response with a lower token than it has seen. */
  @Test
  void callResponseUnderAHigherTokenProvesThatAStartWasDropped() {
    Machine machine = machineWithDueStart(1);
    Attempt attempt = machine.openAttempts.values().iterator().next();
    FakeWorker agent = agentWithStartInHeartbeatResponse(machine);
    attempt.stopping = true;
    machine.token++;
    agents.sendDueCommands(machine);
    replies.get(0).complete(agent.executeCommands(bodies.get(0)));
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
