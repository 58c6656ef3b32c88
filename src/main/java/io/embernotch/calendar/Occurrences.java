package io.embernotch.calendar;

import io.embernotch.settings.Release;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZonedDateTime;
import java.time.format.DateTimeParseException;
import java.time.zone.ZoneOffsetTransition;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Computes when releases come out; pure. A time that a change of the clocks skips is taken as much
 * later as they skip, and of a time that they repeat the first counts, as {@link ZonedDateTime} has
 * it. A date that the zone left out has no occurrence.
 */
public final class Occurrences {
  /**
   * A release on one date.
   *
   * @param release the release's id
   * @param date the date in the release's zone
   * @param at its deadline
   * @param lifted the embargo is lifted: nothing is due
   * @param note what is unusual about its time; null if nothing is
   */
  public record Occurrence(
      String release, LocalDate date, Instant at, boolean lifted, String note) {
    /** Between the release's id and the date in a name. */
    static final String SEPARATOR = "/";

    /** The name by which it is stored and reported: RELEASE/DATE. */
    public String name() {
      return release + SEPARATOR + date;
    }

    /** Whether a name is that of an occurrence of the release. */
    static boolean isOf(String name, Release release) {
      return name.startsWith(release.id() + SEPARATOR);
    }

    /**
     * Whether a name is that of an occurrence on a date that the release's zone left out. Former
     * versions stored such occurrences.
     */
    static boolean isOnSkippedDate(String name, Release release) {
      try {
        return isOf(name, release)
            && !release.zoneHas(LocalDate.parse(name.substring(name.indexOf(SEPARATOR) + 1)));
      } catch (DateTimeParseException e) {
        return false;
      }
    }
  }

  private Occurrences() {}

  /** Those whose deadline is not before {@code from} and before {@code to}, in their order. */
  public static List<Occurrence> between(Release release, Instant from, Instant to) {
    List<Occurrence> occurrences = new ArrayList<>();
    // A date's deadline is at most a day from it, whatever the zone's clocks do.
    LocalDate last = to.atZone(release.zone()).toLocalDate().plusDays(1);
    for (LocalDate date = from.atZone(release.zone()).toLocalDate().minusDays(1);
        !date.isAfter(last);
        date = date.plusDays(1)) {
      on(release, date)
          .filter(occurrence -> !occurrence.at.isBefore(from) && occurrence.at.isBefore(to))
          .ifPresent(occurrences::add);
    }
    return occurrences;
  }

  /** Dates from {@code from} and before {@code to} that are a release's but for its zone. */
  public static List<LocalDate> skippedDates(Release release, LocalDate from, LocalDate to) {
    return from.datesUntil(to)
        .filter(date -> isNamed(release, date) && !release.zoneHas(date))
        .toList();
  }

  private static boolean isNamed(Release release, LocalDate date) {
    return release.also().containsKey(date)
        || (release.days().contains(date.getDayOfWeek()) && !release.except().contains(date));
  }

  /** The occurrence on a date; empty if the release does not come out on it. */
  public static Optional<Occurrence> on(Release release, LocalDate date) {
    if (!isNamed(release, date) || !release.zoneHas(date)) {
      return Optional.empty();
    }
    boolean moved = release.moved().containsKey(date);
    boolean lifted = moved && release.moved().get(date) == null;
    LocalTime time =
        moved && !lifted
            ? release.moved().get(date)
            : release.also().getOrDefault(date, release.time());
    ZonedDateTime at = ZonedDateTime.of(date, time, release.zone());
    String note = clockChangeNote(release, date, time, at);
    return Optional.of(new Occurrence(release.id(), date, at.toInstant(), lifted, note));
  }

  private static String clockChangeNote(
      Release release, LocalDate date, LocalTime time, ZonedDateTime at) {
    ZoneOffsetTransition change = release.zone().getRules().getTransition(date.atTime(time));
    if (change == null) {
      return null;
    }
    return change.isGap()
        ? time + " is skipped by the change of the clocks: taken for " + at.toLocalTime()
        : time + " comes twice by the change of the clocks: the first is taken, " + at.getOffset();
  }
}
