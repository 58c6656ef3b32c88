package io.embernotch.jobs;

import static io.embernotch.testkit.SimulatedCluster.after;
import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.state.ClusterState;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.Priority;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.store.VersionedEntry;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What jobs inherit from those that need them, and when they are let go. */
class DependencyGraphTest implements DependencyGraph.Sink {
  private final FakeTime time = new FakeTime();
  private final ControllerContext env =
      new ControllerContext(
          SettingsReader.parse(SimulatedCluster.toml(0)),
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
  private final ClusterState ledger = new ClusterState();
  private final DependencyGraph chains = new DependencyGraph(env, ledger, this);
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
  public void found(VersionedEntry entry) {
    throw new AssertionError();
  }

  private Job add(String json) {
    Job job = new Job(JobCodec.read(Json.parseObject(json.getBytes())), 1000);
    ledger.jobs.put(job.spec.ref(), job);
    chains.add(job);
    return job;
  }

  private void end(Job job, JobPhase phase, long atMs) {
    job.end = phase;
    job.endKept = true;
    job.endedMs = atMs;
    chains.ended(job);
  }

  private static String with(String json, String rank, double due) {
    return json.replace("standard", rank).replace("\"due_s\":null", "\"due_s\":" + due);
  }

  @Test
  void jobsTakeTheHighestRankAndTheTightestTimeOfAllThatNeedThem() {
    Job first = add(job("j-1", "array", 1).replace("standard", "idle"));
    Job left = add(after("j-2", 1, "j-1"));
    Job right = add(after("j-3", 1, "j-1").replace("\"expect_s\":30.0", "\"expect_s\":50.0"));
    Job last = add(with(after("j-4", 1, "j-2", "j-3"), "high", 300));
    chains.inherit();
    // Submitted at 1 s and due 300 s later; each stage takes its own estimate.
    assertThat(last.startByMs).isEqualTo(1_000 + 300_000 - 30_000);
    assertThat(left.startByMs).isEqualTo(last.startByMs - 30_000);
    assertThat(right.startByMs).isEqualTo(last.startByMs - 50_000);
    assertThat(first.startByMs).isEqualTo(right.startByMs - 30_000);
    assertThat(List.of(first.rank, left.rank, right.rank)).containsOnly(Priority.HIGH);
    assertThat(first.spec.priority()).isEqualTo(Priority.LOW);
    // Once the last one is cancelled, nobody needs them any more.
    end(last, JobPhase.CANCELLED, 2_000);
    chains.inherit();
    assertThat(first.rank).isEqualTo(Priority.NORMAL);
    assertThat(first.startByMs).isEqualTo(Long.MAX_VALUE);
  }

  @Test
  void nothingInheritsTheRankOfALiveService() {
    Job before = add(job("j-1", "array", 1));
    add(
        after("j-2", 1, "j-1")
            .replace("standard", "production")
            .replace("\"array\"", "\"standing\""));
    chains.inherit();
    assertThat(before.rank).isEqualTo(Priority.HIGH);
  }

  @Test
  void aJobIsLetGoWithTheLastThatItNeedsAndCountsFromThen() {
    Job one = add(job("j-1", "array", 1));
    Job two = add(job("j-2", "array", 1));
    Job last = add(after("j-3", 1, "j-1", "j-2"));
    end(one, JobPhase.DONE, 50_000);
    assertThat(released).isEmpty();
    end(two, JobPhase.DONE, 40_000);
    assertThat(released).containsExactly("j-3");
    assertThat(last.sinceMs).isEqualTo(50_000);
    // One that comes when all is over, or after a takeover, comes to the same.
    Job late = add(after("j-4", 1, "j-1", "j-2"));
    assertThat(late.held()).isFalse();
    assertThat(late.sinceMs).isEqualTo(50_000);
  }

  @Test
  void aCancellationGoesThroughTheGraphOnceHoweverItIsTied() {
    Job first = add(job("j-0", "array", 1));
    for (int i = 1; i < 2_000; i++) {
      add(after("j-" + i, 1, "j-" + (i - 1), "j-" + i / 2));
    }
    end(first, JobPhase.CANCELLED, 5_000);
    assertThat(cancelled).hasSize(1_999).doesNotHaveDuplicates();
    assertThat(released).isEmpty();
  }
}
