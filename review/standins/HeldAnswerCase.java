import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The way to one machine holds up a direct command, and then the answer to a report, for less than
 * 4 s each. The report tells that the cloud takes the machine back.
 */
public final class HeldAnswerCase extends Case {
  private static final String KEPT = "j-000001";
  private static final String FILLER = "j-000002";
  private static final String FIRST = "j-000003";
  private static final String MOVED = "j-000004";
  private static final String MOVED_TASK = MOVED + "/0";

  /** Site files: notice_s = 12.0. */
  private static final double NOTICE_S = 12;

  private boolean twice;

  public static void main(String[] args) {
    run(new HeldAnswerCase(), args);
  }

  @Override
  int machines() {
    return 2;
  }

  private static ObjectNode job(String ref, double cards) {
    ObjectNode job = Users.job(ref, "scan-read", "member-data", "array", "standard", 1, 5, cards, 27, 0.1, 300);
    return job.put("room", "hakata-room").put("loaner", true);
  }

  @Override
  int play() {
    Worker.listener =
        new Worker.Listener() {
          @Override
          public void started(Worker worker, String task, long attempt) {
            Record.say("%s starts %s, attempt %d", worker.name, task, attempt);
            for (Worker other : fleet.machines()) {
              if (other != worker && other.isOn(task)) {
                twice = true;
                Record.say("%s is on %s as well: it runs twice", task, other.name);
              }
            }
          }

          @Override
          public void ended(Worker worker, String task, long attempt, String cause) {
            Record.say("%s ends %s, attempt %d: %s", worker.name, task, attempt, cause);
          }
        };
    fleet.ordinary = false;
    startAll();
    // One machine is full, the other has room.
    if (users.submit(job(FILLER, 8), 0) == 0 || users.submit(job(KEPT, 1).put("snapshot_s", 30.0).put("flush_s", 4.0), 1) == 0) {
      return NOT_RUN;
    }
    Worker full = awaitOn(FILLER + "/0");
    Worker flaky = awaitOn(KEPT + "/0");
    if (full == null || flaky == null || full == flaky) {
      return NOT_RUN;
    }
    Web.sleep(8);
    if (TROUBLE) {
      flaky.holdCommandS = 3;
    }
    // Right after a report, so that the next one is due after the command was given up.
    double last = flaky.reportedAt;
    while (flaky.reportedAt == last) {
      Web.sleep(0.005);
    }
    Web.sleep(0.02);
    users.submit(job(FIRST, 1), 0);
    double heldBy = Record.now() + 3;
    while (TROUBLE && flaky.heldSince < 0) {
      if (Record.now() > heldBy) {
        return NOT_RUN;
      }
      Web.sleep(0.005);
    }
    double since = TROUBLE ? flaky.heldSince : Record.now();
    users.submit(job(MOVED, 6), 0);
    until(since + 2.06);
    if (TROUBLE) {
      flaky.holdAnswerS = 3.7;
    }
    flaky.recall(NOTICE_S);
    until(since + 3);
    full.complete(FILLER + "/0");
    until(since + 12);
    for (int i = 0; i < Controllers.COUNT; i++) {
      users.poll(MOVED, i);
    }
    return twice ? BROKEN : HELD;
  }

  private static void until(double time) {
    while (Record.now() < time) {
      Web.sleep(0.005);
    }
  }

  private Worker awaitOn(String task) {
    double until = Record.now() + 25;
    while (Record.now() < until) {
      for (Worker worker : fleet.machines()) {
        if (worker.isOn(task)) {
          return worker;
        }
      }
      Web.sleep(0.1);
    }
    return null;
  }
}
