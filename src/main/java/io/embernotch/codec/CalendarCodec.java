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
  public record StoredOccurrence(
      long generation,
      long deadlineMs,
      long firstDeadlineMs,
      boolean lifted,
      int jobs,
      int inTime,
      boolean over) {}

  public static ObjectNode write(StoredOccurrence occurrence) {
    return Json.object()
        .put("gen", occurrence.generation())
        .put("at", occurrence.deadlineMs())
        .put("first", occurrence.firstDeadlineMs())
        .put("lifted", occurrence.lifted())
        .put("jobs", occurrence.jobs())
        .put("in_time", occurrence.inTime())
        .put("over", occurrence.over());
  }

  public static StoredOccurrence read(JsonNode json) {
    return new StoredOccurrence(
        Json.whole(json, "gen"),
        Json.whole(json, "at"),
        Json.whole(json, "first"),
        json.path("lifted").asBoolean(),
        json.path("jobs").asInt(),
        json.path("in_time").asInt(),
        json.path("over").asBoolean());
  }

  public static ObjectNode writeReleases(long generation, List<Release> releases) {
    ObjectNode json = Json.object().put("gen", generation);
    ArrayNode list = json.putArray("releases");
    for (Release release : releases) {
      ObjectNode entry =
          list.addObject()
              .put("id", release.id())
              .put("zone", release.zone().getId())
              .put("time", release.time().toString())
              .put("lead", release.leadS());
      ArrayNode days = entry.putArray("days");
      release.days().forEach(d -> days.add(d.getValue()));
      ArrayNode except = entry.putArray("except");
      release.except().forEach(d -> except.add(d.toString()));
      times(entry.putObject("also"), release.also());
      times(entry.putObject("moved"), release.moved());
      ArrayNode orders = entry.putArray("orders");
      release.orders().forEach(s -> orders.add(ReservationCodec.writeSelector(s)));
    }
    return json;
  }

  private static void times(ObjectNode into, Map<LocalDate, LocalTime> times) {
    times.forEach((d, t) -> into.put(d.toString(), t == null ? null : t.toString()));
  }

  public static List<Release> readReleases(JsonNode json) {
    List<Release> releases = new ArrayList<>();
    try {
      for (JsonNode entry : Json.need(json, "releases")) {
        Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
        entry.path("days").forEach(d -> days.add(DayOfWeek.of(d.asInt())));
        Set<LocalDate> except = new TreeSet<>();
        entry.path("except").forEach(d -> except.add(LocalDate.parse(d.asText())));
        List<Selector> orders = new ArrayList<>();
        entry.path("orders").forEach(s -> orders.add(ReservationCodec.readSelector(s)));
        releases.add(
            new Release(
                Json.need(entry, "id").asText(),
                ZoneId.of(Json.need(entry, "zone").asText()),
                LocalTime.parse(Json.need(entry, "time").asText()),
                days,
                except,
                times(entry.path("also")),
                times(entry.path("moved")),
                orders,
                entry.path("lead").asDouble()));
      }
    } catch (DateTimeException e) {
      throw new MalformedInputException("releases: " + e.getMessage());
    }
    return releases;
  }

  private static Map<LocalDate, LocalTime> times(JsonNode json) {
    Map<LocalDate, LocalTime> releases = new LinkedHashMap<>();
    json.fields()
        .forEachRemaining(
            e ->
                releases.put(
                    LocalDate.parse(e.getKey()),
                    e.getValue().isNull() ? null : LocalTime.parse(e.getValue().asText())));
    return releases;
  }
}
