import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Users of PROTOCOL, and the descriptions of their jobs. */
final class Users {
  private final Controllers controllers;
  private final Fleet fleet;
  final Map<String, String> lastPhase = new ConcurrentHashMap<>();

  Users(Controllers controllers, Fleet fleet) {
    this.controllers = controllers;
    this.fleet = fleet;
  }

  static ObjectNode job(String ref, String jobclass, String owner, String shape, String rank, int shards, double cores, double cards, double memGb, double sizeGb, double expectS) {
    ObjectNode job = Web.object();
    job.put("ref", ref).put("jobclass", jobclass).put("owner", owner).put("shape", shape);
    job.put("rank", rank).put("shards", shards).put("cores", cores).put("cards", cards);
    job.put("mem_gb", memGb).put("bundle", "img-" + jobclass).put("size_gb", sizeGb);
    job.putNull("flavors").putNull("room").put("one_zone", false).put("scatter", false);
    job.put("loaner", false).put("expect_s", expectS).put("snapshot_s", 0.0).put("flush_s", 0.0);
    job.putNull("due_s");
    return job;
  }

  /** Submits until it is accepted, for up to 60 s; the status, or 0 if there was none. */
  int submit(ObjectNode job, int node) {
    String ref = job.get("ref").asText();
    fleet.jobs.put(ref, job);
    double until = Record.now() + 60;
    int at = node;
    while (true) {
      Web.Reply reply = Web.call("POST", controllers.address(at), "/api/jobs", Web.bytes(job), 5);
      Record.add("submit %s to %s: %s", ref, Controllers.name(at), shown(reply));
      if (reply != null && (reply.status() < 300 || reply.status() == 400 || reply.status() == 422)) {
        return reply.status();
      }
      if (Record.now() > until) {
        return 0;
      }
      at = (at + 1) % Controllers.COUNT;
      Web.sleep(1);
    }
  }

  Web.Reply poll(String ref, int node) {
    Web.Reply reply = Web.call("GET", controllers.address(node), "/api/jobs/" + ref, null, 2);
    Record.add("poll %s at %s: %s", ref, Controllers.name(node), shown(reply));
    if (reply != null && reply.status() == 200) {
      lastPhase.put(ref, reply.json().path("phase").asText());
    }
    return reply;
  }

  Web.Reply abort(String ref, int node) {
    Web.Reply reply = Web.call("POST", controllers.address(node), "/api/jobs/" + ref + "/abort", null, 5);
    Record.add("abort %s at %s: %s", ref, Controllers.name(node), shown(reply));
    return reply;
  }

  static String shown(Web.Reply reply) {
    return reply == null ? "no answer" : reply.status() + " " + reply.text();
  }
}
