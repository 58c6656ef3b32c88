package io.embernotch.settings;

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

/** The calendar of the operators' file, checked; mistakes are told with their place. */
final class CalendarReader {
  private CalendarReader() {}

  static List<Release> read(OperatorFile.Calendar file, long generation) {
    List<Release> releases = new ArrayList<>();
    for (int i = 0; i < file.getReleaseCount(); i++) {
      OperatorFile.Release release = file.getRelease(i);
      String place = "calendar.release[" + i + "]";
      need(
          generation > 0,
          place + ": generation: must be above 0, and be raised with every change of the calendar");
      need(
          release.getId().matches("[a-z0-9-]{1,40}"),
          place + ".id: must be 1 to 40 of a-z, 0-9 and -");
      need(
          releases.stream().noneMatch(o -> o.id().equals(release.getId())),
          place + ".id: " + release.getId() + " is there already");
      need(release.getOrdersCount() > 0, place + ".orders: missing");
      List<Selector> orders = new ArrayList<>();
      for (int k = 0; k < release.getOrdersCount(); k++) {
        Selector selector = ReservationReader.selector(release.getOrders(k));
        need(
            !selector.equals(new Selector(null, null, null, null)),
            place + ".orders[" + k + "]: names no work");
        orders.add(selector);
      }
      ZoneId zone = parsed(place + ".zone", release.getZone(), ZoneId::of);
      LocalTime time = parsed(place + ".time", release.getTime(), LocalTime::parse);
      Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
      release.getDayList().forEach(entry -> days.add(DayOfWeek.of(entry.getNumber())));
      need(
          !days.isEmpty() || release.getAlsoCount() > 0,
          place + ": comes out on no day: set day or also");
      Set<LocalDate> except = new TreeSet<>();
      release
          .getExceptList()
          .forEach(entry -> except.add(parsed(place + ".except", entry, LocalDate::parse)));
      releases.add(
          new Release(
              release.getId(),
              zone,
              time,
              days,
              except,
              times(place + ".also", release.getAlsoList(), time, false),
              times(place + ".moved", release.getMovedList(), null, true),
              List.copyOf(orders),
              OperatorSettings.within(place + ".lead_s", release.getLeadS(), 0, 86_400)));
    }
    return List.copyOf(releases);
  }

  private static Map<LocalDate, LocalTime> times(
      String place, List<OperatorFile.Dated> dated, LocalTime usual, boolean liftable) {
    Map<LocalDate, LocalTime> releases = new LinkedHashMap<>();
    for (int k = 0; k < dated.size(); k++) {
      OperatorFile.Dated entry = dated.get(k);
      String here = place + "[" + k + "]";
      LocalDate date = parsed(here + ".date", entry.getDate(), LocalDate::parse);
      need(!releases.containsKey(date), here + ".date: " + date + " is there already");
      need(liftable || !entry.getLifted(), here + ".lifted: only what is moved can be");
      need(!entry.getLifted() || !entry.hasTime(), here + ": either lifted or a time");
      need(entry.hasTime() || entry.getLifted() || usual != null, here + ".time: missing");
      releases.put(
          date,
          entry.getLifted()
              ? null
              : entry.hasTime()
                  ? parsed(here + ".time", entry.getTime(), LocalTime::parse)
                  : usual);
    }
    return releases;
  }

  private static <T> T parsed(String place, String text, Function<String, T> parse) {
    try {
      return parse.apply(text);
    } catch (DateTimeException e) {
      throw new SettingsException(
          place + ": " + (text.isEmpty() ? "missing" : "\"" + text + "\": " + e.getMessage()));
    }
  }

  private static void need(boolean right, String why) {
    if (!right) {
      throw new SettingsException(why);
    }
  }
}
