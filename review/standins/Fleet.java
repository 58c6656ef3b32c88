import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud of PROTOCOL, and the machines that it rents out. */
final class Fleet {
  final String flavor;
  final double cores;
  final double cards;
  final double memGb;
  final double bootS;
  final List<String> zones;
  final double listLagS;
  final Worker.Timing timing;
  final Map<String, Worker> workers = new TreeMap<>();
  private final Map<String, JsonNode> bookings = new TreeMap<>();
  private int created;
  int capacity = 200;

  /** Whether ordinary machines can be rented. */
  boolean ordinary = true;

  /** Descriptions of the jobs, as users upload them. */
  final Map<String, JsonNode> jobs = new ConcurrentHashMap<>();
  Controllers controllers;

  Fleet(String flavor, double cores, double cards, double memGb, double bootS, List<String> zones, double listLagS, Worker.Timing timing) {
    this.flavor = flavor;
    this.cores = cores;
    this.cards = cards;
    this.memGb = memGb;
    this.bootS = bootS;
    this.zones = zones;
    this.listLagS = listLagS;
    this.timing = timing;
  }

  int listen() {
    int port = Web.freePort();
    Web.serve(port, this::handle);
    return port;
  }

  synchronized List<Worker> machines() {
    return new ArrayList<>(workers.values());
  }

  private Web.Reply handle(String method, URI uri, byte[] body) throws Exception {
    switch (uri.getPath()) {
      case "/machine_types":
        ObjectNode types = Web.object();
        ObjectNode type = types.putArray("flavors").addObject();
        type.put("name", flavor).put("cores", cores).put("cards", cards).put("mem_gb", memGb);
        type.put("local_gb", 200.0).put("fetch_gb_per_s", 1.0).put("rate", 15.3);
        type.put("market_price", 5.99).put("boot_s", bootS);
        ArrayNode rooms = type.putArray("rooms");
        zones.forEach(rooms::add);
        return Web.reply(200, types);
      case "/machines":
        return method.equals("POST") ? rent(Web.JSON.readTree(body)) : list(uri.getQuery());
      case "/machines/delete":
        return delete(Web.JSON.readTree(body));
      default:
        return Web.reply(400, Web.object());
    }
  }

  private synchronized Web.Reply rent(JsonNode request) {
    String booking = request.get("booking").asText();
    if (bookings.containsKey(booking)) {
      return Web.reply(200, bookings.get(booking));
    }
    int number = Math.min(request.get("number").asInt(), capacity - workers.size());
    if (number <= 0 || (!ordinary && !request.get("loaner").asBoolean())) {
      return Web.reply(503, Web.object().put("error", "no capacity"));
    }
    ObjectNode answer = Web.object();
    ArrayNode names = answer.putArray("hearths");
    for (int i = 0; i < number; i++) {
      String name = String.format("n-%06d", ++created);
      Worker worker =
          new Worker(this, name, request.get("room").asText(), request.get("loaner").asBoolean());
      workers.put(name, worker);
      names.add(name);
      worker.boot();
    }
    Record.add("cloud rents out %s", names);
    bookings.put(booking, answer);
    return Web.reply(200, answer);
  }

  private synchronized Web.Reply delete(JsonNode request) {
    for (JsonNode name : request.get("hearths")) {
      Worker worker = workers.remove(name.asText());
      if (worker != null) {
        worker.remove();
        Record.add("cloud deletes %s", name.asText());
      }
    }
    return Web.reply(200, Web.object());
  }

  /** The cloud takes a machine back. */
  synchronized void take(Worker worker) {
    if (workers.remove(worker.name, worker)) {
      worker.remove();
      Record.add("cloud takes %s", worker.name);
    }
  }

  private synchronized Web.Reply list(String query) {
    String after = "";
    int page = 500;
    if (query != null) {
      for (String part : query.split("&")) {
        if (part.startsWith("after=")) {
          after = part.substring(6);
        } else if (part.startsWith("page=")) {
          page = Math.min(500, Integer.parseInt(part.substring(5)));
        }
      }
    }
    ObjectNode answer = Web.object();
    ArrayNode list = answer.putArray("hearths");
    boolean truncated = false;
    double asOf = Record.now() - listLagS;
    for (Worker worker : workers.values()) {
      if (worker.name.compareTo(after) <= 0 || worker.rentedAt > asOf) {
        continue;
      }
      if (list.size() == page) {
        truncated = true;
        break;
      }
      ObjectNode machine = list.addObject();
      machine.put("ref", worker.name).put("address", worker.address()).put("flavor", flavor);
      machine.put("room", worker.zone).put("loaner", worker.spot);
      machine.put("phase", worker.upAt > 0 && worker.upAt <= asOf ? "running" : "booting");
      machine.put("age_s", asOf - worker.rentedAt);
    }
    answer.put("truncated", truncated);
    return Web.reply(200, answer);
  }
}
