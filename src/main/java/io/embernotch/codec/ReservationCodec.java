package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.JobShape;
import io.embernotch.model.Priority;
import io.embernotch.settings.Reservation;
import io.embernotch.settings.Selector;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reservations as facts that controllers share: their terms, and what is held on which machines.
 */
public final class ReservationCodec {
  private ReservationCodec() {}

  public static ObjectNode writeTerms(long generation, List<Reservation> terms) {
    ObjectNode o = Json.object().put("gen", generation);
    ArrayNode list = o.putArray("terms");
    for (Reservation r : terms) {
      ObjectNode t =
          list.addObject()
              .put("name", r.name())
              .put("machines", r.machines())
              .put("cpus", r.cpus())
              .put("gpus", r.gpus())
              .put("mem", r.memGb())
              .put("share", r.share())
              .put("dev", r.deviations());
      ArrayNode serves = t.putArray("serves");
      r.serves().forEach(s -> serves.add(writeSelector(s)));
      ArrayNode types = t.putArray("types");
      r.types().forEach(types::add);
      ObjectNode zones = t.putObject("zones");
      r.zones().forEach(zones::put);
    }
    return o;
  }

  public static ObjectNode writeSelector(Selector s) {
    ObjectNode o = Json.object();
    if (s.priority() != null) {
      o.put("priority", s.priority().name());
    }
    if (s.shape() != null) {
      o.put("shape", s.shape().name());
    }
    return o.put("team", s.team()).put("class", s.jobClass());
  }

  public static Selector readSelector(JsonNode s) {
    try {
      return new Selector(
          s.has("priority") ? Priority.valueOf(s.get("priority").asText()) : null,
          s.has("shape") ? JobShape.valueOf(s.get("shape").asText()) : null,
          s.path("team").asText(null),
          s.path("class").asText(null));
    } catch (IllegalArgumentException e) {
      throw new MalformedInputException("selector: " + e.getMessage());
    }
  }

  public static List<Reservation> readTerms(JsonNode o) {
    List<Reservation> out = new ArrayList<>();
    for (JsonNode t : Json.need(o, "terms")) {
      List<Selector> serves = new ArrayList<>();
      t.path("serves").forEach(s -> serves.add(readSelector(s)));
      List<String> types = new ArrayList<>();
      t.path("types").forEach(x -> types.add(x.asText()));
      Map<String, Double> zones = new LinkedHashMap<>();
      t.path("zones")
          .fields()
          .forEachRemaining(z -> zones.put(z.getKey(), z.getValue().asDouble()));
      out.add(
          new Reservation(
              Json.need(t, "name").asText(),
              serves,
              t.path("machines").asInt(),
              t.path("cpus").asDouble(),
              t.path("gpus").asDouble(),
              t.path("mem").asDouble(),
              t.path("share").asDouble(),
              t.path("dev").asDouble(),
              types,
              zones));
    }
    return out;
  }

  /** What is held on machines, by name: CPUs, GPUs and memory in GB, in thousandths. */
  public static ObjectNode writeHeld(Map<String, double[]> held) {
    ObjectNode o = Json.object();
    ObjectNode on = o.putObject("on");
    new TreeMap<>(held)
        .forEach(
            (machine, a) -> {
              ArrayNode list = on.putArray(machine);
              for (double d : a) {
                list.add(Math.round(d * 1000));
              }
            });
    return o;
  }

  public static Map<String, double[]> readHeld(JsonNode o) {
    Map<String, double[]> out = new TreeMap<>();
    o.path("on")
        .fields()
        .forEachRemaining(
            e -> {
              double[] a = new double[3];
              for (int i = 0; i < 3; i++) {
                a[i] = e.getValue().path(i).asLong() / 1000.0;
              }
              out.put(e.getKey(), a);
            });
    return out;
  }
}
