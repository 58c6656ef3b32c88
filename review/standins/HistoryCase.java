import java.nio.charset.StandardCharsets;

/**
 * All controllers crash in a deployment that has served for three days, so that the state service
 * holds the ended jobs of three days.
 */
public final class HistoryCase extends Case {
  /** 2.3, 11 and 2.5 jobs a minute (BRIEF, kyushu-presswire), for three days. */
  private static final int JOBS = (int) ((2.3 + 11 + 2.5) * 60 * 24 * 3);

  /** "back about 8 s after an end". */
  private static final double BACK_S = 8;

  private static final double OBSERVED_S = 75;

  public static void main(String[] args) {
    run(new HistoryCase(), args);
  }

  @Override
  int play() {
    startAll();
    controllers.restartAfterS = BACK_S;
    String ended = "j-000001";
    String open = "j-000002";
    if (users.submit(Users.job(ended, "scan-read", "member-data", "array", "standard", 5, 5, 1, 27, 0.5, 2), 0) == 0
        || !awaitDone(ended)) {
      return NOT_RUN;
    }
    Web.sleep(4); // its last write is out
    addHistory(ended);
    if (users.submit(Users.job(open, "scan-read", "member-data", "array", "standard", 5, 5, 1, 27, 0.5, 40), 1) == 0) {
      return NOT_RUN;
    }
    if (TROUBLE) {
      controllers.killAll();
    }
    double until = Record.now() + BACK_S + OBSERVED_S;
    int answered = 0;
    int asked = 0;
    while (Record.now() < until) {
      Web.sleep(2);
      Web.Reply reply = users.poll(open, asked++ % Controllers.COUNT);
      answered += reply != null && reply.status() == 200 ? 1 : 0;
    }
    Record.say("polls for %s: %d of %d answered, last: %s", open, answered, asked, users.lastPhase.get(open));
    Record.say("controllers that ended by themselves: %s", controllers.unexpectedEnds());
    return controllers.unexpectedEnds().isEmpty() ? HELD : BROKEN;
  }

  private boolean awaitDone(String ref) {
    double until = Record.now() + 30;
    while (Record.now() < until) {
      users.poll(ref, 0);
      if ("done".equals(users.lastPhase.get(ref))) {
        return true;
      }
      Web.sleep(1);
    }
    return false;
  }

  /** What the program has written for the ended job, once for each job of the three days. */
  private void addHistory(String ended) {
    String job = new String(store.value("job/" + ended), StandardCharsets.UTF_8);
    byte[] progress = store.value("run/" + ended);
    for (int i = 0; i < JOBS; i++) {
      String ref = String.format("j-%06d", 100_000 + i);
      store.putEarlier("job/" + ref, job.replace(ended, ref).getBytes(StandardCharsets.UTF_8));
      store.putEarlier("run/" + ref, progress);
    }
    Record.say("the state service holds %d ended jobs, like %s and %s", JOBS, job, new String(progress, StandardCharsets.UTF_8));
  }
}
