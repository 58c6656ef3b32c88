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
 * Encodes the embargo calendar as shared state entries: its releases, and each occurrence of a
 * release with its deadline.
 */
public final class CalendarCodec {
  /** Generation of the calendar settings. */
  private static final String GENERATION = "gen";

  /** Current deadline of an occurrence, in Unix milliseconds. */
  private static final String DEADLINE_MS = "at";

  /** Deadline of an occurrence when it was first written, in Unix milliseconds. */
  private static final String FIRST_DEADLINE_MS = "first";

  /** Whether the embargo of an occurrence is lifted. */
  private static final String LIFTED = "lifted";

  /** Number of jobs that belong to an occurrence. */
  private static final String JOBS = "jobs";

  /** Number of these jobs that were done by the deadline. */
  private static final String IN_TIME = "in_time";

  /** Whether the deadline of an occurrence has passed. */
  private static final String DEADLINE_PASSED = "over";

  /** List of releases. */
  private static final String RELEASES = "releases";

  /** Id of a release. */
  private static final String ID = "id";

  /** Time zone of a release. */
  private static final String ZONE = "zone";

  /** Time of day of a release. */
  private static final String TIME = "time";

  /** Seconds before the deadline by which the work must be done. */
  private static final String LEAD_S = "lead";

  /** Days of the week as numbers; Monday is 1. */
  private static final String DAYS = "days";

  /** Dates without an occurrence. */
  private static final String EXCLUDED_DATES = "except";

  /** Additional dates and the time of day of each. */
  private static final String ADDITIONAL_DATES = "also";

  /** Dates with a different time of day; null if the embargo is lifted on that date. */
  private static final String MOVED_DATES = "moved";

  /** Selectors of the work that must be done for a release. */
  private static final String WORK_SELECTORS = "orders";

  private CalendarCodec() {}

  /**
   * An occurrence of a release as it is stored.
   *
   * @param generation generation of the calendar settings that it was written under
   * @param deadlineMs current deadline, in Unix milliseconds
   * @param firstDeadlineMs deadline when it was first written, in Unix milliseconds; never changes
   * @param lifted whether its embargo is lifted
   * @param jobs number of jobs that belong to it
   * @param inTime number of these jobs that were done by the deadline
   * @param over whether the deadline has passed and the counts are final
   */
  public record StoredOccurrence(
      long generation,
      long deadlineMs,
      long firstDeadlineMs,
      boolean lifted,
      int jobs,
      int inTime,
      boolean over) {}

  /** Encodes an occurrence. */
  public static ObjectNode write(StoredOccurrence occurrence) {
    return Json.object()
        .put(GENERATION, occurrence.generation())
        .put(DEADLINE_MS, occurrence.deadlineMs())
        .put(FIRST_DEADLINE_MS, occurrence.firstDeadlineMs())
        .put(LIFTED, occurrence.lifted())
        .put(JOBS, occurrence.jobs())
        .put(IN_TIME, occurrence.inTime())
        .put(DEADLINE_PASSED, occurrence.over());
  }

  /**
   * Reads an occurrence.
   *
   * @throws MalformedInputException if the generation or a deadline is missing or malformed
   */
  public static StoredOccurrence read(JsonNode json) {
    return new StoredOccurrence(
        Json.whole(json, GENERATION),
        Json.whole(json, DEADLINE_MS),
        Json.whole(json, FIRST_DEADLINE_MS),
        json.path(LIFTED).asBoolean(),
        json.path(JOBS).asInt(),
        json.path(IN_TIME).asInt(),
        json.path(DEADLINE_PASSED).asBoolean());
  }

  /** Encodes the releases of a calendar. */
  public static ObjectNode writeReleases(long generation, List<Release> releases) {
    ObjectNode json = Json.object().put(GENERATION, generation);
    ArrayNode list = json.putArray(RELEASES);
    for (Release release : releases) {
      ObjectNode entry =
          list.addObject()
              .put(ID, release.id())
              .put(ZONE, release.zone().getId())
              .put(TIME, release.time().toString())
              .put(LEAD_S, release.leadS());
      ArrayNode days = entry.putArray(DAYS);
      release.days().forEach(day -> days.add(day.getValue()));
      ArrayNode except = entry.putArray(EXCLUDED_DATES);
      release.except().forEach(date -> except.add(date.toString()));
      writeTimes(entry.putObject(ADDITIONAL_DATES), release.also());
      writeTimes(entry.putObject(MOVED_DATES), release.moved());
      ArrayNode orders = entry.putArray(WORK_SELECTORS);
      release.orders().forEach(selector -> orders.add(ReservationCodec.writeSelector(selector)));
    }
    return json;
  }

  private static void writeTimes(ObjectNode json, Map<LocalDate, LocalTime> times) {
    times.forEach((date, time) -> json.put(date.toString(), time == null ? null : time.toString()));
  }

  /**
   * Reads the releases of a calendar.
   *
   * @throws MalformedInputException if a field is missing, or a day, date, time or time zone is
   *     invalid
   */
  public static List<Release> readReleases(JsonNode json) {
    List<Release> releases = new ArrayList<>();
    try {
      for (JsonNode entry : Json.required(json, RELEASES)) {
        releases.add(readRelease(entry));
      }
    } catch (DateTimeException e) {
      throw new MalformedInputException(RELEASES + ": " + e.getMessage());
    }
    return releases;
  }

  private static Release readRelease(JsonNode entry) {
    Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
    entry.path(DAYS).forEach(day -> days.add(DayOfWeek.of(day.asInt())));
    Set<LocalDate> except = new TreeSet<>();
    entry.path(EXCLUDED_DATES).forEach(date -> except.add(LocalDate.parse(date.asText())));
    List<Selector> orders = new ArrayList<>();
    entry
        .path(WORK_SELECTORS)
        .forEach(selector -> orders.add(ReservationCodec.readSelector(selector)));
    return new Release(
        Json.required(entry, ID).asText(),
        ZoneId.of(Json.required(entry, ZONE).asText()),
        LocalTime.parse(Json.required(entry, TIME).asText()),
        days,
        except,
        readTimes(entry.path(ADDITIONAL_DATES)),
        readTimes(entry.path(MOVED_DATES)),
        orders,
        entry.path(LEAD_S).asDouble());
  }

  private static Map<LocalDate, LocalTime> readTimes(JsonNode json) {
    Map<LocalDate, LocalTime> times = new LinkedHashMap<>();
    json.fields()
        .forEachRemaining(
            field -> {
              JsonNode time = field.getValue();
              times.put(
                  LocalDate.parse(field.getKey()),
                  time.isNull() ? null : LocalTime.parse(time.asText()));
            });
    return times;
  }
}
