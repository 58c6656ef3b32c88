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
    ObjectNode json = Json.object().put("gen", generation);
    ArrayNode list = json.putArray("terms");
    for (Reservation reservation : terms) {
      ObjectNode entry =
          list.addObject()
              .put("name", reservation.name())
              .put("machines", reservation.machines())
              .put("cpus", reservation.cpus())
              .put("gpus", reservation.gpus())
              .put("mem", reservation.memGb())
              .put("share", reservation.share())
              .put("dev", reservation.deviations());
      ArrayNode serves = entry.putArray("serves");
      reservation.serves().forEach(selector -> serves.add(writeSelector(selector)));
      ArrayNode types = entry.putArray("types");
      reservation.types().forEach(types::add);
      ObjectNode zones = entry.putObject("zones");
      reservation.zones().forEach(zones::put);
    }
    return json;
  }

  public static ObjectNode writeSelector(Selector selector) {
    ObjectNode json = Json.object();
    if (selector.priority() != null) {
      json.put("priority", selector.priority().name());
    }
    if (selector.shape() != null) {
      json.put("shape", selector.shape().name());
    }
    return json.put("team", selector.team()).put("class", selector.jobClass());
  }

  public static Selector readSelector(JsonNode selector) {
    try {
      return new Selector(
          selector.has("priority") ? Priority.valueOf(selector.get("priority").asText()) : null,
          selector.has("shape") ? JobShape.valueOf(selector.get("shape").asText()) : null,
          selector.path("team").asText(null),
          selector.path("class").asText(null));
    } catch (IllegalArgumentException e) {
      throw new MalformedInputException("selector: " + e.getMessage());
    }
  }

  public static List<Reservation> readTerms(JsonNode json) {
    List<Reservation> out = new ArrayList<>();
    for (JsonNode entry : Json.need(json, "terms")) {
      List<Selector> serves = new ArrayList<>();
      entry.path("serves").forEach(selector -> serves.add(readSelector(selector)));
      List<String> types = new ArrayList<>();
      entry.path("types").forEach(type -> types.add(type.asText()));
      Map<String, Double> zones = new LinkedHashMap<>();
      entry
          .path("zones")
          .fields()
          .forEachRemaining(zone -> zones.put(zone.getKey(), zone.getValue().asDouble()));
      out.add(
          new Reservation(
              Json.need(entry, "name").asText(),
              serves,
              entry.path("machines").asInt(),
              entry.path("cpus").asDouble(),
              entry.path("gpus").asDouble(),
              entry.path("mem").asDouble(),
              entry.path("share").asDouble(),
              entry.path("dev").asDouble(),
              types,
              zones));
    }
    return out;
  }

  /** What is held on machines, by name: CPUs, GPUs and memory in GB, in thousandths. */
  public static ObjectNode writeReserved(Map<String, double[]> held) {
    ObjectNode json = Json.object();
    ObjectNode on = json.putObject("on");
    new TreeMap<>(held)
        .forEach(
            (machine, a) -> {
              ArrayNode list = on.putArray(machine);
              for (double d : a) {
                list.add(Math.round(d * 1000));
              }
            });
    return json;
  }

  public static Map<String, double[]> readReserved(JsonNode json) {
    Map<String, double[]> out = new TreeMap<>();
    json.path("on")
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
