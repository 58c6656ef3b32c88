package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.inOneZone;
import static io.embernotch.testkit.TestJobs.inZone;
import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.spreadOverZones;
import static io.embernotch.testkit.TestJobs.withoutSpot;
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

/** Each check of {@link InvariantChecker} reports a history with the violation that it is for. */
class InvariantCheckerTest {
  private final InvariantChecker invariants =
      new InvariantChecker(SettingsReader.parse(SimulatedCluster.settingsToml(0)));
  private final List<FakeWorker> machines = new ArrayList<>();

  private FakeWorker addMachine(String zone, boolean spot) {
    FakeWorker worker = new FakeWorker("n-" + machines.size(), "g8", zone, spot, "10.1.0.9:9", 0);
    machines.add(worker);
    return worker;
  }

  private void accept(String json) {
    invariants.submitted(
        json.getBytes(StandardCharsets.UTF_8),
        HttpResponse.of(201, JobCodec.phaseResponse(ref(json), JobPhase.QUEUED)),
        0,
        0);
  }

  private static String ref(String json) {
    return Json.parseObject(json.getBytes(StandardCharsets.UTF_8)).get("ref").asText();
  }

  private void start(FakeWorker worker, String task, double now) {
    worker.executeCommands(
        ("{\"baton\":1,\"tenure\":1,\"orders\":[{\"verb\":\"run\",\"shard\":\""
                + task
                + "\",\"try\":"
                + (int) (now + 1)
                + "}]}")
            .getBytes(StandardCharsets.UTF_8));
    invariants.taskStarted(worker, task, null, machines, now);
  }

  private void statusReceived(String ref, JobPhase phase, double now) {
    invariants.statusReceived(
        ref, HttpResponse.of(200, JobCodec.statusResponse(ref, phase, 0, 0)), now, now);
  }

  private void assertOnlyViolation(String text) {
    assertThat(invariants.violations()).hasSize(1).first().asString().contains(text);
  }

  @Test
  void historyWithoutFaults() {
    accept(job("j-1", "array", 2));
    FakeWorker worker = addMachine("z1", true);
    start(worker, "j-1/0", 1);
    start(worker, "j-1/1", 1);
    invariants.faultsOver = true;
    invariants.checkMachines(machines, 200);
    invariants.taskExited("j-1/0", "done");
    invariants.taskExited("j-1/1", "done");
    statusReceived("j-1", JobPhase.DONE, 201);
    invariants.checkMachines(machines, 400);
    assertThat(invariants.violations()).isEmpty();
  }

  @Test
  void taskOnTwoMachines() {
    accept(job("j-1", "array", 1));
    start(addMachine("z1", true), "j-1/0", 1);
    start(addMachine("z2", true), "j-1/0", 2);
    assertOnlyViolation("while it is on n-0");
  }

  @Test
  void teamOverItsQuota() {
    accept(job("j-1", "array", 25));
    for (int i = 0; i < 25; i++) {
      start(i % 8 == 0 ? addMachine("z1", true) : machines.get(i / 8), "j-1/" + i, 1);
    }
    assertOnlyViolation("over its limit");
  }

  @Test
  void wrongPlacements() {
    accept(withoutSpot(job("j-1", "array", 1)));
    start(addMachine("z1", true), "j-1/0", 1);
    accept(inZone(job("j-2", "array", 1), "z2"));
    start(addMachine("z1", false), "j-2/0", 1);
    accept(inOneZone(job("j-3", "array", 2)));
    start(addMachine("z1", true), "j-3/0", 1);
    start(addMachine("z2", true), "j-3/1", 1);
    accept(spreadOverZones(job("j-4", "array", 3)));
    FakeWorker worker = addMachine("z1", true);
    start(worker, "j-4/0", 1);
    start(worker, "j-4/1", 1);
    start(worker, "j-4/2", 1);
    accept(job("j-5", "array", 1).replace("\"flavors\":null", "\"flavors\":[\"g4\"]"));
    start(worker, "j-5/0", 1);
    assertThat(invariants.violations()).hasSize(5).allMatch(b -> b.contains("wrong place"));
  }

  @Test
  void tasksThatOutliveTheConfirmedCancellation() {
    accept(job("j-1", "array", 2));
    FakeWorker worker = addMachine("z1", true);
    start(worker, "j-1/0", 1);
    invariants.cancelRequested("j-1", 2);
    statusReceived("j-1", JobPhase.CANCELLED, 4);
    start(worker, "j-1/1", 10);
    assertThat(invariants.startsAfterCancellation()).hasSize(1);
    assertThat(invariants.cancellationDelays()).containsExactly(2.0);
    worker.hung = true;
    invariants.checkMachines(machines, 53.9);
    assertThat(invariants.violations()).isEmpty();
    invariants.checkMachines(machines, 54.1);
    assertThat(invariants.violations()).hasSize(2).allMatch(b -> b.contains("later than cancel_s"));
  }

  @Test
  void startLongAfterTheConfirmedCancellation() {
    accept(job("j-1", "array", 2));
    invariants.cancelRequested("j-1", 2);
    statusReceived("j-1", JobPhase.CANCELLED, 4);
    start(addMachine("z1", true), "j-1/0", 60);
    assertOnlyViolation("starts later than cancel_s");
  }

  @Test
  void forgottenInventedAndContradictedJobs() {
    accept(job("j-1", "array", 1));
    invariants.polled("j-1", HttpResponse.error(404, "x"), 1, 1, true);
    invariants.submitted(
        job("j-1", "array", 1).getBytes(StandardCharsets.UTF_8),
        HttpResponse.error(422, "x"),
        1,
        1);
    invariants.polled(
        "j-2",
        HttpResponse.of(200, JobCodec.statusResponse("j-2", JobPhase.QUEUED, 0, 0)),
        1,
        1,
        false);
    invariants.cancelRequested("j-1", 1);
    statusReceived("j-1", JobPhase.CANCELLED, 2);
    statusReceived("j-1", JobPhase.RUNNING, 3);
    assertThat(invariants.violations()).hasSize(4);
  }

  @Test
  void doneTooEarlyAndCancelledWithoutRequest() {
    accept(job("j-1", "array", 2));
    invariants.taskExited("j-1/0", "done");
    statusReceived("j-1", JobPhase.DONE, 2);
    assertOnlyViolation("before all of its tasks");
    accept(job("j-2", "array", 2));
    statusReceived("j-2", JobPhase.CANCELLED, 2);
    assertThat(invariants.violations()).hasSize(2);
  }

  private void polled(String ref, HttpResponse answer, double sentAt, double now) {
    invariants.polled(ref, answer, sentAt, now, true);
  }

  private static HttpResponse running(String ref, int done) {
    return HttpResponse.of(200, JobCodec.statusResponse(ref, JobPhase.RUNNING, done, 1));
  }

  /** Answers whose times overlap may come in any order. */
  @Test
  void overlappingAnswersMayGiveDifferentStates() {
    accept(job("j-1", "array", 4));
    polled("j-1", running("j-1", 2), 5.0, 5.1);
    polled("j-1", running("j-1", 1), 5.05, 5.2);
    invariants.cancelRequested("j-1", 5.2);
    statusReceived("j-1", JobPhase.CANCELLED, 6);
    polled("j-1", running("j-1", 2), 5.9, 6.5);
    assertThat(invariants.violations()).isEmpty();
  }

  @Test
  void acceptedJobIsUnknownToALaterPoll() {
    polled("j-1", HttpResponse.error(404, "x"), 0.5, 0.9);
    accept(job("j-1", "array", 1));
    assertThat(invariants.violations()).isEmpty();
    polled("j-1", HttpResponse.error(404, "x"), 0.01, 0.02);
    assertOnlyViolation("UNKNOWN");
  }

  @Test
  void countOfDoneTasksFalls() {
    accept(job("j-1", "array", 4));
    polled("j-1", running("j-1", 3), 5, 5.1);
    polled("j-1", running("j-1", 2), 5.2, 5.3);
    assertOnlyViolation("done=3");
  }

  @Test
  void endIsContradictedByALaterPoll() {
    accept(job("j-1", "array", 1));
    invariants.cancelRequested("j-1", 1);
    statusReceived("j-1", JobPhase.CANCELLED, 2);
    polled("j-1", running("j-1", 0), 2.001, 2.01);
    assertOnlyViolation("ENDED");
  }

  /** The answer to a repeated submission is an answer about the job like any other. */
  @Test
  void endIsContradictedByALaterRepeatOfTheSubmission() {
    String json = job("j-1", "array", 1);
    accept(json);
    invariants.cancelRequested("j-1", 1);
    statusReceived("j-1", JobPhase.CANCELLED, 2);
    HttpResponse queued = HttpResponse.of(200, JobCodec.phaseResponse("j-1", JobPhase.QUEUED));
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    invariants.submitted(body, queued, 1.9, 2.1);
    assertThat(invariants.violations()).isEmpty();
    invariants.submitted(body, queued, 2.1, 2.2);
    assertOnlyViolation("ENDED");
  }

  @Test
  void cancelledJobIsDoneToALaterAbort() {
    accept(job("j-1", "array", 1));
    invariants.taskExited("j-1/0", "done");
    invariants.cancelRequested("j-1", 1);
    statusReceived("j-1", JobPhase.CANCELLED, 2);
    invariants.statusReceived(
        "j-1", HttpResponse.of(200, JobCodec.phaseResponse("j-1", JobPhase.DONE)), 3, 3);
    assertOnlyViolation("was cancelled and is done");
  }

  @Test
  void dependentJobIsCancelledThoughNoDependencyIs() {
    accept(job("j-1", "array", 1));
    accept(dependentJob("j-2", 1, "j-1"));
    accept(dependentJob("j-3", 1, "j-2"));
    statusReceived("j-2", JobPhase.CANCELLED, 2);
    assertOnlyViolation("cancelled without a request");
    invariants.cancelRequested("j-1", 3);
    statusReceived("j-3", JobPhase.CANCELLED, 4);
    assertThat(invariants.violations()).hasSize(1);
  }

  @Test
  void runningJobIsReportedAsQueued() {
    accept(job("j-1", "array", 2));
    FakeWorker worker = addMachine("z1", true);
    start(worker, "j-1/0", 1);
    polled("j-1", running("j-1", 0), 2, 2.1);
    HttpResponse queued =
        HttpResponse.of(200, JobCodec.statusResponse("j-1", JobPhase.QUEUED, 0, 0));
    polled("j-1", queued, 2.05, 2.2);
    assertThat(invariants.violations()).isEmpty();
    polled("j-1", queued, 2.3, 2.4);
    assertOnlyViolation("still runs, and is reported as queued");
  }

  @Test
  void jobIsCreatedTwice() {
    accept(job("j-1", "array", 2));
    accept(job("j-1", "array", 2));
    assertOnlyViolation("created twice");
  }

  @Test
  void submissionWithoutAFieldIsAccepted() {
    String json = job("j-1", "array", 2).replace("\"flush_s\":2.0,", "");
    invariants.submitted(
        json.getBytes(StandardCharsets.UTF_8),
        HttpResponse.of(201, JobCodec.phaseResponse("j-1", JobPhase.QUEUED)),
        0,
        0);
    assertOnlyViolation("lacks something");
  }

  @Test
  void jobWaitsBesideRoomForIt() {
    addMachine("z1", true);
    accept(job("j-1", "group", 4));
    invariants.faultsOver = true;
    invariants.checkMachines(machines, 0);
    invariants.checkMachines(machines, 90);
    assertThat(invariants.violations()).isEmpty();
    invariants.checkMachines(machines, 91);
    assertOnlyViolation("beside room");
  }

  @Test
  void jobsWaitWithoutRoomForThem() {
    addMachine("z1", true);
    accept(job("j-1", "group", 9));
    accept(spreadOverZones(job("j-2", "group", 6)));
    invariants.faultsOver = true;
    invariants.checkMachines(machines, 0);
    invariants.checkMachines(machines, 100);
    assertThat(invariants.violations()).isEmpty();
  }
}
