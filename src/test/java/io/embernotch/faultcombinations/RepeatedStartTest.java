package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.inZone;
import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.withPriority;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a late copy of a start that was executed and answered before: the machine is back
 * at once without its state, and every direct command that it ever executed reaches it once more
 * before any controller has sent it a fencing token.
 */
class RepeatedStartTest {
  /** Longer than an agent's lease lasts: the machine is in a later agent epoch by then. */
  private static final double AFTER_LEASE_S = 45;

  private static final String FILLER_JOB = "j-1";
  private static final String TASK_JOB = "j-4";

  private final FaultScenario scenario = FaultScenario.large();

  /** What becomes of the task between its start and the copy. */
  private enum Change {
    NONE,
    MOVED,
    CANCELLED,
    DONE
  }

  /** What is restarted besides the machine. */
  private enum Restart {
    MACHINE_ONLY,
    LEADER_TOO
  }

  @ParameterizedTest
  @CsvSource({
    "NONE,MACHINE_ONLY,false",
    "NONE,LEADER_TOO,false",
    "MOVED,MACHINE_ONLY,false",
    "MOVED,LEADER_TOO,false",
    "MOVED,MACHINE_ONLY,true",
    "CANCELLED,MACHINE_ONLY,false",
    "CANCELLED,LEADER_TOO,false",
    "CANCELLED,MACHINE_ONLY,true",
    "DONE,MACHINE_ONLY,false",
    "DONE,LEADER_TOO,false"
  })
  void copyOfAnExecutedStartStartsNothing(Change change, Restart restart, boolean laterEpoch) {
    ControllerNode leader = startTaskBesideAFullMachine();
    FakeWorker machine = scenario.cluster.runningTasks(TASK_JOB).get(TASK_JOB + "/0");
    int startsBefore = apply(change, machine);
    if (restart == Restart.LEADER_TOO) {
      scenario.cluster.restartAfter(leader, 0.3);
    }
    machine.restart(true);
    if (laterEpoch) {
      machine.inboundPartitioned = true;
      scenario.cluster.advance(AFTER_LEASE_S);
      machine.inboundPartitioned = false;
    }
    scenario.cluster.redeliverAll();
    assertThat(machine.startedAttempts).hasSize(startsBefore);
    scenario.cluster.advance(3);
    scenario.cluster.redeliverAll();
    scenario.cluster.cloud.outOfCapacity = false;
    scenario.verifyRecovery();
    boolean ended = change == Change.CANCELLED || change == Change.DONE;
    assertThat(scenario.cluster.runningTasks(TASK_JOB)).hasSize(ended ? 0 : 1);
  }

  /** Starts a task on a machine with room, while the only other machine is full. */
  private ControllerNode startTaskBesideAFullMachine() {
    ControllerNode leader = scenario.cluster.awaitLeader(3);
    scenario.cluster.bootMachine("g8", "z1", false);
    scenario.cluster.bootMachine("g8", "z2", false);
    scenario.cluster.advance(8);
    scenario.cluster.cloud.outOfCapacity = true;
    submit(inZone(job(FILLER_JOB, "array", 1), "z2"), FILLER_JOB, 8);
    submit(withPriority(inZone(job("j-2", "array", 1), "z1"), "high"), "j-2", 5);
    submit(job(TASK_JOB, "array", 1), TASK_JOB, 3);
    assertThat(scenario.cluster.runningTasks(TASK_JOB)).hasSize(1);
    return leader;
  }

  private void submit(String json, String ref, int gpus) {
    scenario.submitAccepted(0, ref, json.replace("\"cards\":1.0", "\"cards\":" + gpus + ".0"));
    scenario.cluster.advance(6);
  }

  /** Returns how many starts the machine has executed after the change. */
  private int apply(Change change, FakeWorker machine) {
    switch (change) {
      case MOVED -> {
        // A service that may run nowhere else preempts it.
        scenario.cluster.completeTasks(FILLER_JOB);
        String service = withPriority(job("j-3", "standing", 1), "production");
        submit(inZone(service, "z1"), "j-3", 3);
        scenario.cluster.advance(6);
        assertThat(scenario.cluster.runningTasks(TASK_JOB).values())
            .hasSize(1)
            .doesNotContain(machine);
      }
      case CANCELLED -> {
        scenario.cancelUntilConfirmed(TASK_JOB, 0, 10);
        scenario.cluster.advance(12);
      }
      case DONE -> {
        scenario.cluster.completeTasks(TASK_JOB);
        scenario.cluster.advance(10);
      }
      case NONE -> {}
    }
    return machine.startedAttempts.size();
  }
}
