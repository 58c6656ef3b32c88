package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.JobPhase;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.InvariantChecker;
import io.embernotch.testkit.SimulatedCluster;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each check of {@link InvariantChecker} reports a history in which the fault was planted. */
class InvariantCheckerTest {
  private final InvariantChecker rules =
      new InvariantChecker(SettingsReader.parse(SimulatedCluster.settingsToml(0)));
  private final List<FakeWorker> machines = new ArrayList<>();

  private FakeWorker machine(String zone, boolean spot) {
    FakeWorker w = new FakeWorker("n-" + machines.size(), "g8", zone, spot, "10.1.0.9:9", 0);
    machines.add(w);
    return w;
  }

  private void accept(String json) {
    rules.submitted(
        json.getBytes(StandardCharsets.UTF_8),
        HttpResponse.of(201, JobCodec.brief(ref(json), JobPhase.QUEUED)),
        0,
        0);
  }

  private static String ref(String json) {
    return Json.parseObject(json.getBytes(StandardCharsets.UTF_8)).get("ref").asText();
  }

  private void start(FakeWorker w, String task, double now) {
    w.executeCommands(
        ("{\"baton\":1,\"tenure\":1,\"orders\":[{\"verb\":\"run\",\"shard\":\""
                + task
                + "\",\"try\":"
                + (int) (now + 1)
                + "}]}")
            .getBytes(StandardCharsets.UTF_8));
    rules.taskStarted(w, task, null, machines, now);
  }

  private void told(String ref, JobPhase phase, double now) {
    rules.statusReceived(ref, HttpResponse.of(200, JobCodec.status(ref, phase, 0, 0)), now, now);
  }

  private void heartbeats(String what) {
    assertThat(rules.violations()).hasSize(1).first().asString().contains(what);
  }

  @Test
  void aSoundHistoryIsSound() {
    accept(job("j-1", "array", 2));
    FakeWorker w = machine("z1", true);
    start(w, "j-1/0", 1);
    start(w, "j-1/1", 1);
    rules.faultsOver = true;
    rules.checkMachines(machines, 200);
    rules.taskExited("j-1/0", "done");
    rules.taskExited("j-1/1", "done");
    told("j-1", JobPhase.DONE, 201);
    rules.checkMachines(machines, 400);
    assertThat(rules.violations()).isEmpty();
  }

  @Test
  void aTaskOnTwoMachines() {
    accept(job("j-1", "array", 1));
    start(machine("z1", true), "j-1/0", 1);
    start(machine("z2", true), "j-1/0", 2);
    heartbeats("while it is on n-0");
  }

  @Test
  void aTeamOverItsLimit() {
    accept(job("j-1", "array", 25));
    for (int i = 0; i < 25; i++) {
      start(i % 8 == 0 ? machine("z1", true) : machines.get(i / 8), "j-1/" + i, 1);
    }
    heartbeats("over its limit");
  }

  @Test
  void wrongPlaces() {
    accept(job("j-1", "array", 1).replace("\"loaner\":true", "\"loaner\":false"));
    start(machine("z1", true), "j-1/0", 1);
    accept(job("j-2", "array", 1).replace("\"room\":null", "\"room\":\"z2\""));
    start(machine("z1", false), "j-2/0", 1);
    accept(job("j-3", "array", 2).replace("\"one_zone\":false", "\"one_zone\":true"));
    start(machine("z1", true), "j-3/0", 1);
    start(machine("z2", true), "j-3/1", 1);
    accept(job("j-4", "array", 3).replace("\"scatter\":false", "\"scatter\":true"));
    FakeWorker w = machine("z1", true);
    start(w, "j-4/0", 1);
    start(w, "j-4/1", 1);
    start(w, "j-4/2", 1);
    accept(job("j-5", "array", 1).replace("\"flavors\":null", "\"flavors\":[\"g4\"]"));
    start(w, "j-5/0", 1);
    assertThat(rules.violations()).hasSize(5).allMatch(b -> b.contains("wrong place"));
  }

  @Test
  void whatOutlivesItsConfirmation() {
    accept(job("j-1", "array", 2));
    FakeWorker w = machine("z1", true);
    start(w, "j-1/0", 1);
    rules.cancelRequested("j-1", 2);
    told("j-1", JobPhase.CANCELLED, 4);
    start(w, "j-1/1", 10);
    assertThat(rules.startsAfterCancellation()).hasSize(1);
    assertThat(rules.cancellationDelays()).containsExactly(2.0);
    w.hung = true;
    rules.checkMachines(machines, 53.9);
    assertThat(rules.violations()).isEmpty();
    rules.checkMachines(machines, 54.1);
    assertThat(rules.violations()).hasSize(2).allMatch(b -> b.contains("later than cancel_s"));
  }

  @Test
  void startsLongAfterAConfirmation() {
    accept(job("j-1", "array", 2));
    rules.cancelRequested("j-1", 2);
    told("j-1", JobPhase.CANCELLED, 4);
    start(machine("z1", true), "j-1/0", 60);
    heartbeats("starts later than cancel_s");
  }

  @Test
  void forgottenInventedAndTakenBack() {
    accept(job("j-1", "array", 1));
    rules.polled("j-1", HttpResponse.error(404, "x"), 1, 1, true);
    rules.submitted(
        job("j-1", "array", 1).getBytes(StandardCharsets.UTF_8),
        HttpResponse.error(422, "x"),
        1,
        1);
    rules.polled(
        "j-2", HttpResponse.of(200, JobCodec.status("j-2", JobPhase.QUEUED, 0, 0)), 1, 1, false);
    rules.cancelRequested("j-1", 1);
    told("j-1", JobPhase.CANCELLED, 2);
    told("j-1", JobPhase.RUNNING, 3);
    assertThat(rules.violations()).hasSize(4);
  }

  @Test
  void doneTooEarlyAndCancelledByItself() {
    accept(job("j-1", "array", 2));
    rules.taskExited("j-1/0", "done");
    told("j-1", JobPhase.DONE, 2);
    heartbeats("before all of its tasks");
    accept(job("j-2", "array", 2));
    told("j-2", JobPhase.CANCELLED, 2);
    assertThat(rules.violations()).hasSize(2);
  }

  private void asked(String ref, HttpResponse answer, double askedAt, double now) {
    rules.polled(ref, answer, askedAt, now, true);
  }

  private static HttpResponse running(String ref, int done) {
    return HttpResponse.of(200, JobCodec.status(ref, JobPhase.RUNNING, done, 1));
  }

  /** Answers whose times overlap may come in any order. */
  @Test
  void overlappingAnswersMayTellDifferentStates() {
    accept(job("j-1", "array", 4));
    asked("j-1", running("j-1", 2), 5.0, 5.1);
    asked("j-1", running("j-1", 1), 5.05, 5.2);
    rules.cancelRequested("j-1", 5.2);
    told("j-1", JobPhase.CANCELLED, 6);
    asked("j-1", running("j-1", 2), 5.9, 6.5);
    assertThat(rules.violations()).isEmpty();
  }

  @Test
  void aDenialOfWhatWasAcceptedBeforeItWasAsked() {
    asked("j-1", HttpResponse.error(404, "x"), 0.5, 0.9);
    accept(job("j-1", "array", 1));
    assertThat(rules.violations()).isEmpty();
    asked("j-1", HttpResponse.error(404, "x"), 0.01, 0.02);
    heartbeats("UNKNOWN");
  }

  @Test
  void aCountOfDoneTasksThatFalls() {
    accept(job("j-1", "array", 4));
    asked("j-1", running("j-1", 3), 5, 5.1);
    asked("j-1", running("j-1", 2), 5.2, 5.3);
    heartbeats("done=3");
  }

  @Test
  void anEndThatIsTakenBackByALaterQuestion() {
    accept(job("j-1", "array", 1));
    rules.cancelRequested("j-1", 1);
    told("j-1", JobPhase.CANCELLED, 2);
    asked("j-1", running("j-1", 0), 2.001, 2.01);
    heartbeats("ENDED");
  }

  @Test
  void aJobThatRunsOnAndIsToldToBeQueued() {
    accept(job("j-1", "array", 2));
    FakeWorker w = machine("z1", true);
    start(w, "j-1/0", 1);
    asked("j-1", running("j-1", 0), 2, 2.1);
    HttpResponse queued = HttpResponse.of(200, JobCodec.status("j-1", JobPhase.QUEUED, 0, 0));
    asked("j-1", queued, 2.05, 2.2);
    assertThat(rules.violations()).isEmpty();
    asked("j-1", queued, 2.3, 2.4);
    heartbeats("runs on, and is told to be queued");
  }

  @Test
  void aJobThatIsCreatedTwice() {
    accept(job("j-1", "array", 2));
    accept(job("j-1", "array", 2));
    heartbeats("created twice");
  }

  @Test
  void acceptedThoughItLacksAField() {
    String json = job("j-1", "array", 2).replace("\"flush_s\":2.0,", "");
    rules.submitted(
        json.getBytes(StandardCharsets.UTF_8),
        HttpResponse.of(201, JobCodec.brief("j-1", JobPhase.QUEUED)),
        0,
        0);
    heartbeats("lacks something");
  }

  @Test
  void aJobThatWaitsBesideRoomForIt() {
    machine("z1", true);
    accept(job("j-1", "group", 4));
    rules.faultsOver = true;
    rules.checkMachines(machines, 0);
    rules.checkMachines(machines, 90);
    assertThat(rules.violations()).isEmpty();
    rules.checkMachines(machines, 91);
    heartbeats("beside room");
  }

  @Test
  void noRoomNoFault() {
    machine("z1", true);
    accept(job("j-1", "group", 9));
    accept(job("j-2", "group", 6).replace("\"scatter\":false", "\"scatter\":true"));
    rules.faultsOver = true;
    rules.checkMachines(machines, 0);
    rules.checkMachines(machines, 100);
    assertThat(rules.violations()).isEmpty();
  }
}
