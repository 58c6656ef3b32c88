import com.fasterxml.jackson.databind.node.ObjectNode;

/** A controller that does not lead is silent for a minute while a huge array runs. */
public final class SilenceCase extends Case {
  private static final double SILENT_S = 62;
  private static final double OBSERVED_S = 20;

  public static void main(String[] args) {
    run(new SilenceCase(), args);
  }

  @Override
  Site site() {
    return Site.REGISTO;
  }

  @Override
  int machines() {
    return 28;
  }

  @Override
  int play() {
    startAll();
    String ref = "j-000001";
    ObjectNode job = Users.job(ref, "capital-grid", "audit-guest", "array", "idle", 100_000, 1, 0, 4.8, 1, 10);
    if (users.submit(job, 0) == 0) {
      return NOT_RUN;
    }
    observe(15, ref);
    int silent = (leaderIndex() + 1) % Controllers.COUNT;
    if (TROUBLE) {
      controllers.signal(silent, "STOP");
    }
    observe(SILENT_S, ref);
    if (TROUBLE) {
      controllers.signal(silent, "CONT");
    }
    observe(OBSERVED_S, ref);
    Record.say("controllers that ended by themselves: %s", controllers.unexpectedEnds());
    return controllers.unexpectedEnds().isEmpty() ? HELD : BROKEN;
  }

  private void observe(double seconds, String ref) {
    double until = Record.now() + seconds;
    while (Record.now() < until) {
      Web.sleep(5);
      Web.Reply reply = users.poll(ref, Math.max(0, leaderIndex()));
      Record.say("%s; %d commits, resident MB %d %d %d, %d bytes of progress", Users.shown(reply), store.commits, controllers.residentMb(0), controllers.residentMb(1), controllers.residentMb(2), store.bytesUnder("run/"));
    }
  }
}
