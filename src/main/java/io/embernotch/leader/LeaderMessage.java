package io.embernotch.steward;

import io.embernotch.http.Answer;
import io.embernotch.model.Job;
import io.embernotch.model.WorkerReport;
import io.embernotch.peer.Frame;
import io.embernotch.straggler.Restart;
import io.vertx.core.Promise;
import java.util.List;

/** What the steward may be told. */
sealed interface StewardMessage {
  /**
   * A worker reports, by the controller whose life {@code via} is; {@code reply} gets the body of
   * the 200, or null if it must not get one.
   */
  record Report(WorkerReport report, long via, Promise<byte[]> reply) implements StewardMessage {}

  /**
   * What a worker reported to another controller before there was a steward; nobody waits for an
   * answer.
   */
  record Heard(WorkerReport report) implements StewardMessage {}

  record Ask(Frame.Ask.What what, String ref, Promise<Answer> reply) implements StewardMessage {}

  record JobCreated(Job job, int piece) implements StewardMessage {}

  record Propose(String from, List<Restart> restarts) implements StewardMessage {}

  record Tick() implements StewardMessage {}

  record MakePlan() implements StewardMessage {}
}
