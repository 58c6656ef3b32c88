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
    List<Release> out = new ArrayList<>();
    for (int i = 0; i < file.getReleaseCount(); i++) {
      OperatorFile.Release r = file.getRelease(i);
      String place = "calendar.release[" + i + "]";
      need(
          generation > 0,
          place + ": generation: must be above 0, and be raised with every change of the calendar");
      need(r.getId().matches("[a-z0-9-]{1,40}"), place + ".id: must be 1 to 40 of a-z, 0-9 and -");
      need(
          out.stream().noneMatch(o -> o.id().equals(r.getId())),
          place + ".id: " + r.getId() + " is there already");
      need(r.getOrdersCount() > 0, place + ".orders: missing");
      List<Selector> orders = new ArrayList<>();
      for (int k = 0; k < r.getOrdersCount(); k++) {
        Selector s = ReservationReader.selector(r.getOrders(k));
        need(
            !s.equals(new Selector(null, null, null, null)),
            place + ".orders[" + k + "]: names no work");
        orders.add(s);
      }
      ZoneId zone = parsed(place + ".zone", r.getZone(), ZoneId::of);
      LocalTime time = parsed(place + ".time", r.getTime(), LocalTime::parse);
      Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
      r.getDayList().forEach(d -> days.add(DayOfWeek.of(d.getNumber())));
      need(
          !days.isEmpty() || r.getAlsoCount() > 0,
          place + ": comes out on no day: set day or also");
      Set<LocalDate> except = new TreeSet<>();
      r.getExceptList().forEach(d -> except.add(parsed(place + ".except", d, LocalDate::parse)));
      out.add(
          new Release(
              r.getId(),
              zone,
              time,
              days,
              except,
              times(place + ".also", r.getAlsoList(), time, false),
              times(place + ".moved", r.getMovedList(), null, true),
              List.copyOf(orders),
              OperatorSettings.within(place + ".lead_s", r.getLeadS(), 0, 86_400)));
    }
    return List.copyOf(out);
  }

  private static Map<LocalDate, LocalTime> times(
      String place, List<OperatorFile.Dated> dated, LocalTime usual, boolean liftable) {
    Map<LocalDate, LocalTime> out = new LinkedHashMap<>();
    for (int k = 0; k < dated.size(); k++) {
      OperatorFile.Dated d = dated.get(k);
      String here = place + "[" + k + "]";
      LocalDate date = parsed(here + ".date", d.getDate(), LocalDate::parse);
      need(!out.containsKey(date), here + ".date: " + date + " is there already");
      need(liftable || !d.getLifted(), here + ".lifted: only what is moved can be");
      need(!d.getLifted() || !d.hasTime(), here + ": either lifted or a time");
      need(d.hasTime() || d.getLifted() || usual != null, here + ".time: missing");
      out.put(
          date,
          d.getLifted()
              ? null
              : d.hasTime() ? parsed(here + ".time", d.getTime(), LocalTime::parse) : usual);
    }
    return out;
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
