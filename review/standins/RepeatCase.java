import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A task has moved from one machine to another. The first machine is back without its state, and
 * the direct command that had started the task there arrives once more.
 */
public final class RepeatCase extends Case {
  private static final String FILLER = "j-000001";
  private static final String KEPT = "j-000002";
  private static final String MOVED = "j-000003";
  private static final String MOVED_TASK = MOVED + "/0";
  private static final String URGENT = "j-000004";
  private static final String BESIDE = "j-000005";

  private boolean twice;

  public static void main(String[] args) {
    run(new RepeatCase(), args);
  }

  @Override
  int machines() {
    return 2;
  }

  private static ObjectNode job(String ref, String shape, String rank, double cards) {
    return Users.job(ref, "scan-read", "member-data", shape, rank, 1, 5, cards, 27, 0.1, 300);
  }

  @Override
  int play() throws Exception {
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
    startAll();
    // One machine is full; the other has room for one more task.
    users.submit(job(FILLER, "array", "high", 7), 0);
    Worker second = awaitOn(FILLER + "/0", null);
    users.submit(job(BESIDE, "array", "high", 1), 0);
    if (second == null || awaitOn(BESIDE + "/0", null) != second) {
      return NOT_RUN;
    }
    users.submit(job(KEPT, "array", "high", 5), 1);
    Worker first = awaitOn(KEPT + "/0", second);
    users.submit(job(MOVED, "array", "idle", 3), 2);
    if (second == null || first == null || awaitOn(MOVED_TASK, second) != first) {
      return NOT_RUN;
    }
    Web.sleep(4);
    byte[] command = first.carriedOut.get(MOVED_TASK + "#1");
    if (command == null) {
      Record.say("the task was not started by a direct command");
      return NOT_RUN;
    }
    // A live service takes its place, and it goes on elsewhere.
    users.submit(job(URGENT, "standing", "production", 3), 0);
    awaitOn(URGENT + "/0", null);
    second.complete(FILLER + "/0");
    if (awaitOn(MOVED_TASK, first) == null) {
      return NOT_RUN;
    }
    Web.sleep(8);
    if (TROUBLE) {
      first.backWithoutState(command);
    }
    Web.sleep(15);
    for (int i = 0; i < Controllers.COUNT; i++) {
      users.poll(MOVED, i);
    }
    return twice ? BROKEN : HELD;
  }

  private Worker awaitOn(String task, Worker not) {
    double until = Record.now() + 25;
    while (Record.now() < until) {
      for (Worker worker : fleet.machines()) {
        if (worker != not && worker.isOn(task)) {
          return worker;
        }
      }
      Web.sleep(0.05);
    }
    return null;
  }
}
