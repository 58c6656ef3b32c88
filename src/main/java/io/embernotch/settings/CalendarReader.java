package io.embernotch.settings;

import static io.embernotch.settings.Checks.require;

import io.embernotch.settings.proto.OperatorFile;
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
import java.util.function.Function;

/** Reads and checks the calendar of the operators' file; errors name their place. */
final class CalendarReader {
  private static final double MAX_LEAD_S = 86_400;

  private CalendarReader() {}

  /**
   * The releases, in the order of the file.
   *
   * @param generation generation of the file, which must be set if there are releases
   * @throws SettingsException if a field is missing or wrong
   */
  static List<Release> read(OperatorFile.Calendar file, long generation) {
    List<Release> releases = new ArrayList<>();
    for (int i = 0; i < file.getReleaseCount(); i++) {
      OperatorFile.Release release = file.getRelease(i);
      String place = "calendar.release[" + i + "]";
      require(
          generation > 0,
          place + ": generation: must be above 0, and be raised with every change of the calendar");
      Checks.requireName(place + ".id", release.getId());
      require(
          releases.stream().noneMatch(other -> other.id().equals(release.getId())),
          place + ".id: " + release.getId() + " is there already");
      releases.add(release(place, release));
    }
    return List.copyOf(releases);
  }

  private static Release release(String place, OperatorFile.Release release) {
    List<Selector> orders = SelectorReader.read(place + ".orders", release.getOrdersList());
    ZoneId zone = parse(place + ".zone", release.getZone(), ZoneId::of);
    LocalTime time = parse(place + ".time", release.getTime(), LocalTime::parse);
    Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
    release.getDayList().forEach(day -> days.add(DayOfWeek.of(day.getNumber())));
    require(
        !days.isEmpty() || release.getAlsoCount() > 0,
        place + ": comes out on no day: set day or also");
    Set<LocalDate> except = new TreeSet<>();
    release
        .getExceptList()
        .forEach(date -> except.add(parse(place + ".except", date, LocalDate::parse)));
    Release read =
        new Release(
            release.getId(),
            zone,
            time,
            days,
            except,
            times(place + ".also", release.getAlsoList(), time, false),
            times(place + ".moved", release.getMovedList(), null, true),
            List.copyOf(orders),
            Checks.within(place + ".lead_s", release.getLeadS(), 0, MAX_LEAD_S));
    requireDatesOfTheZone(read, place + ".also", release.getAlsoList());
    requireDatesOfTheZone(read, place + ".moved", release.getMovedList());
    return read;
  }

  private static void requireDatesOfTheZone(
      Release release, String place, List<OperatorFile.Dated> dated) {
    for (int i = 0; i < dated.size(); i++) {
      String date = dated.get(i).getDate();
      require(
          release.zoneHas(LocalDate.parse(date)),
          place + "[" + i + "].date: " + date + " does not exist in " + release.zone());
    }
  }

  /**
   * Times by date; null: the embargo is lifted.
   *
   * @param usual the time of a date that names none; null: it must name one
   */
  private static Map<LocalDate, LocalTime> times(
      String place, List<OperatorFile.Dated> dated, LocalTime usual, boolean liftable) {
    Map<LocalDate, LocalTime> times = new LinkedHashMap<>();
    for (int i = 0; i < dated.size(); i++) {
      OperatorFile.Dated entry = dated.get(i);
      String here = place + "[" + i + "]";
      LocalDate date = parse(here + ".date", entry.getDate(), LocalDate::parse);
      require(!times.containsKey(date), here + ".date: " + date + " is there already");
      require(liftable || !entry.getLifted(), here + ".lifted: only what is moved can be");
      require(!entry.getLifted() || !entry.hasTime(), here + ": either lifted or a time");
      require(entry.hasTime() || entry.getLifted() || usual != null, here + ".time: missing");
      times.put(date, time(here, entry, usual));
    }
    return times;
  }

  private static LocalTime time(String place, OperatorFile.Dated entry, LocalTime usual) {
    if (entry.getLifted()) {
      return null;
    }
    return entry.hasTime() ? parse(place + ".time", entry.getTime(), LocalTime::parse) : usual;
  }

  private static <T> T parse(String field, String text, Function<String, T> parser) {
    try {
      return parser.apply(text);
    } catch (DateTimeException e) {
      throw new SettingsException(
          field + ": " + (text.isEmpty() ? "missing" : "\"" + text + "\": " + e.getMessage()));
    }
  }
}
