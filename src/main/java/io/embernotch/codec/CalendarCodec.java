package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.settings.Release;
import io.embernotch.settings.Selector;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The embargo calendar as facts that controllers share: its releases, and each coming out with its
 * deadline.
 */
public final class CalendarCodec {
  private CalendarCodec() {}

  /**
   * One coming out as it is kept: {@code firstMs} is its deadline when it was first written, which
   * never changes.
   */
  public record Kept(
      long generation,
      long atMs,
      long firstMs,
      boolean lifted,
      int jobs,
      int inTime,
      boolean over) {}

  public static ObjectNode write(Kept k) {
    return Json.object()
        .put("gen", k.generation())
        .put("at", k.atMs())
        .put("first", k.firstMs())
        .put("lifted", k.lifted())
        .put("jobs", k.jobs())
        .put("in_time", k.inTime())
        .put("over", k.over());
  }

  public static Kept read(JsonNode o) {
    return new Kept(
        Json.whole(o, "gen"),
        Json.whole(o, "at"),
        Json.whole(o, "first"),
        o.path("lifted").asBoolean(),
        o.path("jobs").asInt(),
        o.path("in_time").asInt(),
        o.path("over").asBoolean());
  }

  public static ObjectNode writeReleases(long generation, List<Release> releases) {
    ObjectNode o = Json.object().put("gen", generation);
    ArrayNode list = o.putArray("releases");
    for (Release r : releases) {
      ObjectNode n =
          list.addObject()
              .put("id", r.id())
              .put("zone", r.zone().getId())
              .put("time", r.time().toString())
              .put("lead", r.leadS());
      ArrayNode days = n.putArray("days");
      r.days().forEach(d -> days.add(d.getValue()));
      ArrayNode except = n.putArray("except");
      r.except().forEach(d -> except.add(d.toString()));
      times(n.putObject("also"), r.also());
      times(n.putObject("moved"), r.moved());
      ArrayNode orders = n.putArray("orders");
      r.orders().forEach(s -> orders.add(ReservationCodec.writeSelector(s)));
    }
    return o;
  }

  private static void times(ObjectNode into, Map<LocalDate, LocalTime> times) {
    times.forEach((d, t) -> into.put(d.toString(), t == null ? null : t.toString()));
  }

  public static List<Release> readReleases(JsonNode o) {
    List<Release> out = new ArrayList<>();
    try {
      for (JsonNode n : Json.need(o, "releases")) {
        Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
        n.path("days").forEach(d -> days.add(DayOfWeek.of(d.asInt())));
        Set<LocalDate> except = new TreeSet<>();
        n.path("except").forEach(d -> except.add(LocalDate.parse(d.asText())));
        List<Selector> orders = new ArrayList<>();
        n.path("orders").forEach(s -> orders.add(ReservationCodec.readSelector(s)));
        out.add(
            new Release(
                Json.need(n, "id").asText(),
                ZoneId.of(Json.need(n, "zone").asText()),
                LocalTime.parse(Json.need(n, "time").asText()),
                days,
                except,
                times(n.path("also")),
                times(n.path("moved")),
                orders,
                n.path("lead").asDouble()));
      }
    } catch (DateTimeException e) {
      throw new MalformedInputException("releases: " + e.getMessage());
    }
    return out;
  }

  private static Map<LocalDate, LocalTime> times(JsonNode o) {
    Map<LocalDate, LocalTime> out = new LinkedHashMap<>();
    o.fields()
        .forEachRemaining(
            e ->
                out.put(
                    LocalDate.parse(e.getKey()),
                    e.getValue().isNull() ? null : LocalTime.parse(e.getValue().asText())));
    return out;
  }
}
