import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;

/** A guest team submits one huge array of small tasks. */
public final class TinyTasksCase extends Case {
  private static final int HUGE = 4000;
  private static final int USUAL = 31;
  private static final double OBSERVED_S = 100;

  private final Map<String, Integer> tooLong = new HashMap<>();
  private int started;
  private int done;
  private int lost;
  private int largest;

  public static void main(String[] args) {
    run(new TinyTasksCase(), args);
  }

  @Override
  int machines() {
    return 2;
  }

  @Override
  int play() {
    Worker.listener =
        new Worker.Listener() {
          @Override
          public void started(Worker worker, String task, long attempt) {
            synchronized (TinyTasksCase.this) {
              started++;
            }
          }

          @Override
          public void ended(Worker worker, String task, long attempt, String cause) {
            synchronized (TinyTasksCase.this) {
              if (cause.equals("done")) {
                done++;
              } else {
                lost++;
              }
            }
          }

          @Override
          public void tooLong(Worker worker, String what, int bytes) {
            synchronized (TinyTasksCase.this) {
              Record.say("%s: %s has %d bytes, more than 64 KiB", worker.name, what, bytes);
              tooLong.merge(what, 1, Integer::sum);
              largest = Math.max(largest, bytes);
            }
          }
        };
    startAll();
    String ref = "j-000001";
    ObjectNode job = Users.job(ref, "dialect-grid", "univ-nlp-guest", "array", "idle", TROUBLE ? HUGE : USUAL, 0.02, 0, 0.1, 0.5, 60);
    if (users.submit(job, 0) == 0) {
      return NOT_RUN;
    }
    double until = Record.now() + OBSERVED_S;
    int asked = 0;
    while (Record.now() < until && !"done".equals(users.lastPhase.get(ref))) {
      Web.sleep(3);
      users.poll(ref, asked++ % Controllers.COUNT);
      for (Worker worker : fleet.machines()) {
        Record.say("%s holds %d tasks, %d run", worker.name, worker.held(), worker.count("running"));
      }
    }
    Record.say("tasks started %d, done %d, ended otherwise %d; messages over 64 KiB: %s, largest %d; %s", started, done, lost, tooLong, largest, users.lastPhase.get(ref));
    return tooLong.isEmpty() ? HELD : BROKEN;
  }
}
