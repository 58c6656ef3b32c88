package io.embernotch.calendar;

import io.embernotch.settings.Release;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZonedDateTime;
import java.time.zone.ZoneOffsetTransition;
import java.util.ArrayList;
import java.util.List;

/**
 * When releases come out; pure. A time that a change of the clocks skips is taken as much later as
 * they skip, one that they repeat for the first of the two, as {@link ZonedDateTime} has it.
 */
public final class Occurrences {
  /**
   * One coming out.
   *
   * @param date in the release's zone
   * @param at its deadline
   * @param lifted the embargo is lifted: nothing is due
   * @param note what is odd about its time, or null
   */
  public record Occurrence(
      String release, LocalDate date, Instant at, boolean lifted, String note) {
    public String name() {
      return release + "/" + date;
    }
  }

  private Occurrences() {}

  /** Those whose deadline is not before {@code from} and before {@code to}, in their order. */
  public static List<Occurrence> between(Release r, Instant from, Instant to) {
    List<Occurrence> out = new ArrayList<>();
    // A date's deadline is at most a day from it, whatever the zone's clocks do.
    LocalDate last = to.atZone(r.zone()).toLocalDate().plusDays(1);
    for (LocalDate d = from.atZone(r.zone()).toLocalDate().minusDays(1);
        !d.isAfter(last);
        d = d.plusDays(1)) {
      Occurrence o = on(r, d);
      if (o != null && !o.at.isBefore(from) && o.at.isBefore(to)) {
        out.add(o);
      }
    }
    return out;
  }

  /** That of a date; null if it does not come out on it. */
  public static Occurrence on(Release r, LocalDate date) {
    boolean comes =
        r.also().containsKey(date)
            || (r.days().contains(date.getDayOfWeek()) && !r.except().contains(date));
    if (!comes) {
      return null;
    }
    LocalTime time = r.also().getOrDefault(date, r.time());
    boolean lifted = r.moved().containsKey(date) && r.moved().get(date) == null;
    time = r.moved().containsKey(date) && !lifted ? r.moved().get(date) : time;
    ZonedDateTime at = ZonedDateTime.of(date, time, r.zone());
    return new Occurrence(r.id(), date, at.toInstant(), lifted, odd(r, date, time, at));
  }

  private static String odd(Release r, LocalDate date, LocalTime time, ZonedDateTime at) {
    ZoneOffsetTransition change = r.zone().getRules().getTransition(date.atTime(time));
    if (change == null) {
      return null;
    }
    return change.isGap()
        ? time + " is skipped by the change of the clocks: taken for " + at.toLocalTime()
        : time + " comes twice by the change of the clocks: the first is taken, " + at.getOffset();
  }
}
