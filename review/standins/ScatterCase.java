import com.fasterxml.jackson.databind.node.ObjectNode;

/** A user sends a gang that must be spread over zones to a deployment that has one zone. */
public final class ScatterCase extends Case {
  private static final double OBSERVED_S = 92;

  public static void main(String[] args) {
    run(new ScatterCase(), args);
  }

  @Override
  Site site() {
    return Site.REGISTO;
  }

  @Override
  int play() {
    startAll();
    String kept = "j-000001";
    ObjectNode service = Users.job(kept, "certidao-live", "balcao-ops", "standing", "production", 2, 8, 1, 43, 1, 0);
    String ref = "j-000002";
    ObjectNode gang = Users.job(ref, "ocr-retrain", "docs-ml", "group", "standard", 2, 8, 1, 54, 1, 30);
    gang.put("scatter", TROUBLE);
    if (users.submit(service, 0) != 201) {
      return NOT_RUN;
    }
    int status = users.submit(gang, 1);
    Record.say("a gang of 2 tasks, scatter %s, in one zone: %d", TROUBLE, status);
    if (!TROUBLE) {
      return status == 201 ? HELD : NOT_RUN;
    }
    if (status == 422) {
      return HELD;
    }
    double until = Record.now() + OBSERVED_S;
    int asked = 0;
    while (Record.now() < until) {
      Web.sleep(5);
      users.poll(ref, asked++ % Controllers.COUNT);
    }
    for (Worker worker : fleet.machines()) {
      Record.say("%s has 96 CPUs and 8 cards, and runs %d tasks of 8 CPUs and 1 card", worker.name, worker.count("running"));
    }
    Record.say("after %.0f s: %s", OBSERVED_S, users.lastPhase.get(ref));
    return status == 201 ? BROKEN : NOT_RUN;
  }
}
