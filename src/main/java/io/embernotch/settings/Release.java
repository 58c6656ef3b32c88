package io.embernotch.settings;

import io.embernotch.model.JobSpec;
import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.zone.ZoneOffsetTransition;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A release that comes out at a time of day, and the work that must be done by then.
 *
 * @param id unique id
 * @param zone time zone of its days and times
 * @param time time of day at which it comes out
 * @param days days on which it comes out, empty for none but {@code also}
 * @param except dates on which it does not
 * @param also additional dates, with their time
 * @param moved dates on which its time is another; a null time: the embargo is lifted
 * @param orders selectors of the work, any of which may match; of two releases that order the same
 *     work the first in the file counts
 * @param leadS seconds before the deadline by which the work is to be done
 */
public record Release(
    String id,
    ZoneId zone,
    LocalTime time,
    Set<DayOfWeek> days,
    Set<LocalDate> except,
    Map<LocalDate, LocalTime> also,
    Map<LocalDate, LocalTime> moved,
    List<Selector> orders,
    double leadS) {
  private static final LocalTime NOON = LocalTime.NOON;

  /** Whether a job is part of the work. */
  public boolean orders(JobSpec job) {
    return Selector.anyMatches(orders, job);
  }

  /**
   * Whether a date exists in the release's zone. A zone that changes sides of the date line may
   * leave one out; a change of the clocks by less skips a part of a date at most.
   */
  public boolean zoneHas(LocalDate date) {
    ZoneOffsetTransition change = zone.getRules().getTransition(date.atTime(NOON));
    return change == null
        || !change.isGap()
        || change.getDateTimeBefore().isAfter(date.atStartOfDay())
        || change.getDateTimeAfter().isBefore(date.plusDays(1).atStartOfDay());
  }
}
