package io.embernotch.api;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.api.JobAnswers.JobQuery;
import io.embernotch.api.JobAnswers.Kind;
import io.embernotch.api.JobAnswers.Source;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.JobPhase;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.TestContexts;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** An answer that contradicts an end which a controller has told or knows is not given. */
class JobAnswersTest {
  private final CompletedJobCache completedJobs = new CompletedJobCache();
  private final JobAnswers answers =
      new JobAnswers(
          TestContexts.withWorkers(
              SettingsReader.parse(SimulatedCluster.settingsToml(0)), new FakeTime(), null),
          completedJobs,
          () -> new JobAnswers.AnswerContext("c0", 12, 340, "era-1"));

  private static HttpResponse state(JobPhase phase) {
    return HttpResponse.of(200, JobCodec.statusResponse("j-1", phase, 0, 0));
  }

  private JobQuery ask() {
    return answers.startQuery(Kind.POLL, "j-1");
  }

  private static String phaseOf(HttpResponse response) {
    return Json.parseObject(response.body()).path("phase").asText();
  }

  @Test
  void answersPassWhileTheyOnlyMoveOn() {
    for (JobPhase phase : JobPhase.values()) {
      if (phase != JobPhase.CANCELLED) {
        assertThat(phaseOf(ask().answer(Source.LEADER, state(phase))))
            .isEqualTo(phase.name().toLowerCase(Locale.ROOT));
      }
    }
    assertThat(ask().answer(Source.LEADER, HttpResponse.unavailable("x")).status()).isEqualTo(503);
    assertThat(answers.contradictions()).isZero();
    assertThat(answers.outdatedAnswers()).isZero();
  }

  @Test
  void anEndThatWasToldIsNotContradicted() {
    ask().answer(Source.STORE, state(JobPhase.CANCELLED));
    assertThat(ask().answer(Source.LEADER, state(JobPhase.QUEUED)).status()).isEqualTo(503);
    assertThat(ask().answer(Source.LEADER, state(JobPhase.DONE)).status()).isEqualTo(503);
    assertThat(ask().answer(Source.STORE, HttpResponse.error(404, "x")).status()).isEqualTo(503);
    assertThat(phaseOf(ask().answer(Source.LEADER, state(JobPhase.CANCELLED))))
        .isEqualTo("cancelled");
    assertThat(answers.contradictions()).isEqualTo(3);
  }

  @Test
  void anEndThatIsKnownIsNotContradicted() {
    completedJobs.put("j-1", JobPhase.DONE, 1);
    completedJobs.put("j-1", JobPhase.CANCELLED, 0);
    assertThat(phaseOf(completedJobs.status("j-1"))).isEqualTo("done");
    assertThat(ask().answer(Source.SUBMISSION, state(JobPhase.QUEUED)).status()).isEqualTo(503);
    assertThat(answers.contradictions()).isEqualTo(1);
  }

  /** It was right as of its question. By now the end may have been told, so that is told. */
  @Test
  void anAnswerThatTheEndOvertookIsReplacedByTheEnd() {
    JobQuery before = ask();
    ask().answer(Source.STORE, state(JobPhase.DONE));
    assertThat(phaseOf(before.answer(Source.LEADER, state(JobPhase.RUNNING)))).isEqualTo("done");
    assertThat(answers.outdatedAnswers()).isEqualTo(1);
    assertThat(answers.contradictions()).isZero();
  }

  /** Progress that somebody else has put back under a new leader, as no loss that is noticed. */
  @Test
  void aControllerTellsNothingRatherThanGoBackAndTheRunFails() {
    SimulatedCluster cluster = new SimulatedCluster(3);
    ControllerNode leader = cluster.awaitLeader(4);
    ControllerNode follower = cluster.otherNode(leader);
    cluster.submit(leader.index, job("j-1", "array", 1));
    cluster.advance(12);
    cluster.completeTasks("j-1");
    cluster.advance(3);
    assertThat(cluster.phase(follower.index, "j-1")).isEqualTo("done");
    assertThat(cluster.violations()).isEmpty();
    leader.kill();
    cluster.store.put("run/j-1", "{\"next\":3}");
    cluster.awaitLeader(12);
    assertThat(cluster.phase(follower.index, "j-1")).isIn("done", "status 503");
    assertThat(cluster.violations()).anyMatch(violation -> violation.contains("contradicted"));
  }
}
