package io.embernotch.scheduling;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import java.nio.charset.StandardCharsets;
import java.util.AbstractList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A job whose planning throws because of a bug is left out of the plan and reported. Without that,
 * one such job keeps all others from ever being started.
 */
class FailingJobTest {
  /** A list of machine types that throws on access, in place of any bug. */
  private static final List<String> FAILING =
      new AbstractList<>() {
        @Override
        public String get(int index) {
          throw new IllegalStateException("a mistake");
        }

        @Override
        public int size() {
          throw new IllegalStateException("a mistake");
        }
      };

  private final SchedulerFixture fixture = new SchedulerFixture();

  private static Job failingJob(String shape, String rank) {
    String json = job("j-1", shape, 2).replace("\"standard\"", "\"" + rank + "\"");
    JobSpec spec = JobCodec.read(Json.parseObject(json.getBytes(StandardCharsets.UTF_8)));
    JobSpec failing =
        new JobSpec(
            spec.ref(),
            spec.jobClass(),
            spec.team(),
            spec.shape(),
            spec.priority(),
            spec.tasks(),
            spec.cpus(),
            spec.gpus(),
            spec.memGb(),
            spec.image(),
            spec.imageGb(),
            FAILING,
            spec.zone(),
            spec.oneZone(),
            spec.spread(),
            spec.spot(),
            spec.expectS(),
            spec.checkpointS(),
            spec.saveS(),
            spec.dueS(),
            spec.dependencies());
    return new Job(failing, 0);
  }

  @ParameterizedTest
  @ValueSource(strings = {"array", "group", "standing"})
  void otherJobsAreStartedAndTheFailureIsReported(String shape) {
    for (String rank : List.of("production", "standard")) {
      fixture.jobs.clear();
      Job failing = failingJob(shape, rank);
      fixture.jobs.add(failing);
      Job other = fixture.add(job("j-2", "array", 2));
      fixture.machines.clear();
      fixture.machine("n-1", true);
      SchedulingPlan plan = fixture.plan();
      assertThat(plan.starts()).extracting(SchedulingPlan.Start::job).containsExactly(other);
      assertThat(plan.failures()).extracting(SchedulingPlan.Failure::job).containsExactly(failing);
    }
  }
}
