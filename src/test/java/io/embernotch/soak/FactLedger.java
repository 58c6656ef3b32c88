package io.embernotch.soak;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.Json;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Notes which controller process knew what of each job, and what became of the store, to explain a
 * run's violations. It checks nothing itself.
 */
final class FactLedger {
  private static final int FIRST_STATUS_WITHOUT_STATE = 300;
  private static final Pattern CONTROLLER = Pattern.compile("\\bc\\d+\\b");

  /** One process of a controller, and when it first told, read or wrote each fact. */
  private static final class ControllerLife {
    private final String process;
    private final LocalTime startedAt = now();
    private LocalTime endedAt = LocalTime.MAX;
    private final Map<Fact, LocalTime> knownSince = new HashMap<>();

    ControllerLife(String process) {
      this.process = process;
    }

    void learn(JsonNode message) {
      Fact.in(message).forEach(fact -> knownSince.putIfAbsent(fact, now()));
    }
  }

  private final MessageLog messages;
  private final List<ControllerLife> lives = new ArrayList<>();
  private final Map<String, ControllerLife> present = new HashMap<>();

  /** What happened to the store as a whole. */
  private final List<String> storeEvents = new ArrayList<>();

  FactLedger(MessageLog messages) {
    this.messages = messages;
  }

  private static LocalTime now() {
    return LocalTime.now(ZoneId.systemDefault()).truncatedTo(ChronoUnit.MILLIS);
  }

  /** A process of a controller has been started, the so-manieth. */
  void started(String controller, int start) {
    ControllerLife life = new ControllerLife(controller + "-" + start);
    lives.add(life);
    present.put(controller, life);
    messages.line(life.process + " is started");
  }

  /** The process of a controller has been killed, if it was up. */
  void killed(String controller) {
    ControllerLife life = present.get(controller);
    if (life != null && life.endedAt.equals(LocalTime.MAX)) {
      life.endedAt = now();
      messages.line(life.process + " is killed");
    }
  }

  /**
   * A controller has answered a user's request, or the store a controller's.
   *
   * @param way names the controller
   */
  void answered(String way, byte[] request, int status, byte[] body) {
    Matcher controller = CONTROLLER.matcher(way);
    if (status >= FIRST_STATUS_WITHOUT_STATE || !controller.find()) {
      return;
    }
    ControllerLife life = present.get(controller.group());
    JsonNode answer = Json.parseObject(body);
    life.learn(answer);
    answer.path("pairs").forEach(life::learn);
    answer.path("events").forEach(life::learn);
    if (request.length > 0) {
      Json.parseObject(request).path("apply").forEach(change -> written(life, change));
    }
  }

  private void written(ControllerLife by, JsonNode change) {
    by.learn(change);
    if (change.path("write").asText().equals(IncarnationCodec.POINTER)) {
      storeChanged("new incarnation by " + by.process);
    }
  }

  /** The store was put back, or a new incarnation of its contents has begun. */
  void storeChanged(String what) {
    storeEvents.add(what + " at " + now());
    messages.line(what);
  }

  /** A violation, with the processes that knew the fact that it contradicts. */
  String explain(String violation) {
    Fact fact = Fact.contradictedBy(violation);
    if (fact == null) {
      return violation;
    }
    StringJoiner history = new StringJoiner("; ", violation + " (", ")");
    for (ControllerLife life : lives) {
      if (life.knownSince.containsKey(fact)) {
        history.add(
            "%s of %s at %s, up %s to %s"
                .formatted(
                    fact.ref() + fact.what(),
                    life.process,
                    life.knownSince.get(fact),
                    life.startedAt,
                    life.endedAt));
      }
    }
    storeEvents.forEach(history::add);
    return history.toString();
  }
}
