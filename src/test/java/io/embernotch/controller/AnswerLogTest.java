package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.embernotch.api.JobAnswers;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** The logs of three controllers contain every answer about a job and the state it is based on. */
class AnswerLogTest {
  private static final Logger LOGGER = (Logger) LoggerFactory.getLogger(JobAnswers.class);

  private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
  private final SimulatedCluster cluster = new SimulatedCluster(3);

  /** Answers that users received, as logged: NODE answers KIND of REF: STATUS PHASE. */
  private final List<String> expectedAnswers = new ArrayList<>();

  @BeforeEach
  void attachAppender() {
    appender.start();
    LOGGER.addAppender(appender);
    LOGGER.setLevel(Level.DEBUG);
  }

  @AfterEach
  void detachAppender() {
    LOGGER.detachAppender(appender);
    LOGGER.setLevel(null);
  }

  private void recordAnswer(ControllerNode node, String kind, HttpResponse response) {
    String phase =
        response.status() / 100 == 2 ? Json.parseObject(response.body()).get("phase").asText() : "";
    expectedAnswers.add(
        "%s answers %s of j-1: %d %s"
            .formatted(node.settings.node(), kind, response.status(), phase));
  }

  private void pollEverywhere() {
    for (ControllerNode node : cluster.nodes) {
      recordAnswer(node, "poll", cluster.poll(node.index, "j-1"));
    }
  }

  /** Log lines about answers to users, without those about answers between controllers. */
  private List<String> userAnswerLines() {
    return allAnswerLines().stream().filter(line -> !line.contains("answers forwarded")).toList();
  }

  private List<String> allAnswerLines() {
    return appender.list.stream()
        .map(ILoggingEvent::getFormattedMessage)
        .filter(line -> line.contains(" of j-1: "))
        .toList();
  }

  @Test
  void everyAnswerAboutAJobIsLoggedInOrder() {
    ControllerNode leader = cluster.awaitLeader(4);
    ControllerNode follower = cluster.otherNode(leader);
    String json = job("j-1", "array", 2);
    recordAnswer(follower, "submission", cluster.submit(follower.index, json));
    pollEverywhere();
    cluster.advance(12);
    pollEverywhere();
    recordAnswer(follower, "abort", cluster.cancel(follower.index, "j-1"));
    cluster.advance(3);
    pollEverywhere();
    leader.kill();
    cluster.advance(1);
    recordAnswer(follower, "poll", cluster.poll(follower.index, "j-1"));

    assertThat(expectedAnswers).contains("c0 answers poll of j-1: 200 running");
    List<String> logged = userAnswerLines();
    assertThat(logged).hasSameSizeAs(expectedAnswers);
    for (int i = 0; i < expectedAnswers.size(); i++) {
      assertThat(logged.get(i))
          .startsWith(expectedAnswers.get(i) + ", decided by ")
          .containsPattern("leader (c\\d of epoch \\d+|null of epoch 0), revision [1-9]")
          .containsPattern("incarnation [^ ,]+, asked \\d+ ms ago$");
    }
    long forwardedToLeader =
        logged.stream()
            .filter(line -> line.contains("decided by leader"))
            .filter(line -> !line.startsWith(leader.settings.node() + " "))
            .count();
    assertThat(allAnswerLines().stream().filter(line -> line.contains("answers forwarded of")))
        .hasSize((int) forwardedToLeader)
        .allMatch(line -> line.startsWith(leader.settings.node() + " "));
  }

  @Test
  void overviewContainsAnswerCountsAndTheTerm() {
    ControllerNode leader = cluster.awaitLeader(4);
    cluster.submit(leader.index, job("j-1", "array", 2));
    cluster.poll(leader.index, "j-1");
    // An overview requested by another controller is not counted as an answer about a job.
    cluster.await(cluster.otherNode(leader).controller.overview());
    var overview = Json.parseObject(cluster.await(leader.controller.overview()).body());
    assertThat(overview.path("answers").path("submission").asInt()).isEqualTo(1);
    assertThat(overview.path("answers").path("leader").asInt()).isEqualTo(1);
    assertThat(overview.path("term_epoch").asLong()).isPositive();
    assertThat(overview.path("lease_left_s").asDouble()).isPositive();
  }
}
