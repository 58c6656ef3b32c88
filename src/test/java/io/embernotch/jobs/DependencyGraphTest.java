package io.embernotch.jobs;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.Priority;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.state.ClusterState;
import io.embernotch.store.VersionedEntry;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests priority inheritance between dependent jobs, their release and their cancellation. */
class DependencyGraphTest implements DependencyGraph.Listener {
  private final FakeTime time = new FakeTime();
  private final ControllerContext context =
      new ControllerContext(
          SettingsReader.parse(SimulatedCluster.settingsToml(0)),
          OperatorSettings.DEFAULTS,
          time,
          time,
          time,
          null,
          null,
          null,
          null,
          null,
          null);
  private final ClusterState state = new ClusterState();
  private final DependencyGraph dependencyGraph = new DependencyGraph(context, state, this);
  private final List<String> released = new ArrayList<>();
  private final List<String> cancelled = new ArrayList<>();

  @Override
  public void released(Job job) {
    released.add(job.spec.ref());
  }

  @Override
  public void cancelled(Job job) {
    cancelled.add(job.spec.ref());
  }

  @Override
  public void jobFound(VersionedEntry entry) {
    throw new AssertionError();
  }

  private Job add(String json) {
    Job job = new Job(JobCodec.read(Json.parseObject(json.getBytes(StandardCharsets.UTF_8))), 1000);
    state.jobs.put(job.spec.ref(), job);
    dependencyGraph.add(job);
    return job;
  }

  private void end(Job job, JobPhase phase, long atMs) {
    job.finalPhase = phase;
    job.endPersisted = true;
    job.endedMs = atMs;
    dependencyGraph.ended(job);
  }

  private static String withPriorityAndDue(String json, String priority, double dueS) {
    return json.replace("standard", priority).replace("\"due_s\":null", "\"due_s\":" + dueS);
  }

  @Test
  void jobsInheritTheHighestPriorityAndTheEarliestStartOfTheirDependents() {
    Job first = add(job("j-1", "array", 1).replace("standard", "idle"));
    Job left = add(dependentJob("j-2", 1, "j-1"));
    Job right =
        add(dependentJob("j-3", 1, "j-1").replace("\"expect_s\":30.0", "\"expect_s\":50.0"));
    Job last = add(withPriorityAndDue(dependentJob("j-4", 1, "j-2", "j-3"), "high", 300));
    dependencyGraph.propagateUrgency();
    // Submitted at 1 s and due 300 s later; each stage must start earlier by its own estimated run
    // time.
    assertThat(last.latestStartMs).isEqualTo(1_000 + 300_000 - 30_000);
    assertThat(left.latestStartMs).isEqualTo(last.latestStartMs - 30_000);
    assertThat(right.latestStartMs).isEqualTo(last.latestStartMs - 50_000);
    assertThat(first.latestStartMs).isEqualTo(right.latestStartMs - 30_000);
    assertThat(List.of(first.effectivePriority, left.effectivePriority, right.effectivePriority))
        .containsOnly(Priority.HIGH);
    assertThat(first.spec.priority()).isEqualTo(Priority.LOW);
    // Once the last job is cancelled, no live job depends on the others any more.
    end(last, JobPhase.CANCELLED, 2_000);
    dependencyGraph.propagateUrgency();
    assertThat(first.effectivePriority).isEqualTo(Priority.NORMAL);
    assertThat(first.latestStartMs).isEqualTo(Long.MAX_VALUE);
  }

  @Test
  void noJobInheritsTheProductionPriorityOfAService() {
    Job dependency = add(job("j-1", "array", 1));
    add(
        dependentJob("j-2", 1, "j-1")
            .replace("standard", "production")
            .replace("\"array\"", "\"standing\""));
    dependencyGraph.propagateUrgency();
    assertThat(dependency.effectivePriority).isEqualTo(Priority.HIGH);
  }

  @Test
  void aJobIsReleasedWithItsLastDependencyAndEligibleSinceThen() {
    Job one = add(job("j-1", "array", 1));
    Job two = add(job("j-2", "array", 1));
    Job last = add(dependentJob("j-3", 1, "j-1", "j-2"));
    end(one, JobPhase.DONE, 50_000);
    assertThat(released).isEmpty();
    end(two, JobPhase.DONE, 40_000);
    assertThat(released).containsExactly("j-3");
    assertThat(last.eligibleSinceMs).isEqualTo(50_000);
    // A job that is added after its dependencies ended, as in a failover, has the same result.
    Job late = add(dependentJob("j-4", 1, "j-1", "j-2"));
    assertThat(late.blocked()).isFalse();
    assertThat(late.eligibleSinceMs).isEqualTo(50_000);
  }

  @Test
  void aCancellationReachesEachDependentOnceHoweverManyPathsLeadToIt() {
    Job first = add(job("j-0", "array", 1));
    for (int i = 1; i < 2_000; i++) {
      add(dependentJob("j-" + i, 1, "j-" + (i - 1), "j-" + i / 2));
    }
    end(first, JobPhase.CANCELLED, 5_000);
    assertThat(cancelled).hasSize(1_999).doesNotHaveDuplicates();
    assertThat(released).isEmpty();
  }
}
