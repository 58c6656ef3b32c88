package io.embernotch.calendar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.embernotch.calendar.Occurrences.Occurrence;
import io.embernotch.codec.CalendarCodec;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Release;
import io.embernotch.settings.SettingsException;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Rules to dates: changes of the clocks, leap days, dates added, left out, moved and lifted. */
class OccurrencesTest {
  private static final String DAILY =
      "day: [MONDAY, TUESDAY, WEDNESDAY, THURSDAY, FRIDAY, SATURDAY, SUNDAY] ";

  private static Release release(String zone, String time, String more) {
    return OperatorSettings.parse(
            "generation: 1 calendar { release { id: 'r' zone: '"
                + zone
                + "' time: '"
                + time
                + "' orders { priority: HIGH } "
                + more
                + " } }")
        .calendar()
        .releases()
        .get(0);
  }

  private static Occurrence on(Release release, String date) {
    return Occurrences.on(release, LocalDate.parse(date)).orElseThrow();
  }

  /**
   * In Lisbon 01:00 to 02:00 is skipped on 28 March 2027, and comes twice on 31 October; Tokyo's
   * clocks never change.
   */
  @Test
  void aTimeThatTheClocksSkipOrRepeatIsTakenAsDocumented() {
    Release release = release("Europe/Lisbon", "01:30", DAILY);
    assertThat(on(release, "2027-03-28").at()).isEqualTo(Instant.parse("2027-03-28T01:30:00Z"));
    assertThat(on(release, "2027-03-28").note()).contains("skipped").contains("02:30");
    assertThat(on(release, "2027-10-31").at()).isEqualTo(Instant.parse("2027-10-31T00:30:00Z"));
    assertThat(on(release, "2027-10-31").note()).contains("twice");
    Release far = release("Asia/Tokyo", "01:30", DAILY);
    assertThat(on(far, "2027-03-28").at()).isEqualTo(Instant.parse("2027-03-27T16:30:00Z"));
    assertThat(on(far, "2027-03-28").note()).isNull();
  }

  @Test
  void datesAreLeftOutAddedMovedAndLifted() {
    Release release =
        release(
            "Asia/Tokyo",
            "07:30",
            "day: MONDAY except: '2028-02-28' also { date: '2028-02-29' time: '06:00' } moved { date: '2028-03-06' time: '05:00' }"
                + " moved { date: '2028-03-13' lifted: true }");
    List<Occurrence> occurrences =
        Occurrences.between(
            release, Instant.parse("2028-02-25T00:00:00Z"), Instant.parse("2028-03-14T00:00:00Z"));
    assertThat(occurrences)
        .extracting(occurrence -> occurrence.date().toString())
        .containsExactly("2028-02-29", "2028-03-06", "2028-03-13");
    assertThat(occurrences)
        .extracting(occurrence -> occurrence.at().toString())
        .containsExactly("2028-02-28T21:00:00Z", "2028-03-05T20:00:00Z", "2028-03-12T22:30:00Z");
    assertThat(occurrences).extracting(Occurrence::lifted).containsExactly(false, false, true);
    assertThat(CalendarCodec.readReleases(CalendarCodec.writeReleases(1, List.of(release))))
        .containsExactly(release);
  }

  /**
   * Whatever the day, the zone and the time: one a day, some 23 to 25 hours apart, in order, and
   * none lost where spans meet.
   */
  @Property(tries = 400, seed = "4711")
  void oneADayAndNoneLostWhereSpansMeet(
      @ForAll @IntRange(min = 0, max = 20_000) int day,
      @ForAll @IntRange(min = 0, max = 1439) int minute,
      @ForAll @IntRange(min = 0, max = 4) int zoneIndex) {
    String zone =
        List.of(
                "Europe/Lisbon",
                "Asia/Tokyo",
                "America/St_Johns",
                "Pacific/Apia",
                "Australia/Lord_Howe")
            .get(zoneIndex);
    Release release = release(zone, String.format("%02d:%02d", minute / 60, minute % 60), DAILY);
    Instant from = LocalDate.ofEpochDay(day).atStartOfDay(ZoneOffset.UTC).toInstant();
    Instant middle = from.plus(Duration.ofDays(9));
    Instant to = from.plus(Duration.ofDays(20));
    List<Occurrence> occurrences = Occurrences.between(release, from, to);
    assertThat(occurrences).hasSizeBetween(19, 21);
    for (int i = 1; i < occurrences.size(); i++) {
      Duration apart = Duration.between(occurrences.get(i - 1).at(), occurrences.get(i).at());
      // Apia left out a day when it changed sides of the date line.
      assertThat(apart)
          .isBetween(Duration.ofHours(22), Duration.ofHours(zone.equals("Pacific/Apia") ? 49 : 26));
    }
    assertThat(
            Stream.concat(
                    Occurrences.between(release, from, middle).stream(),
                    Occurrences.between(release, middle, to).stream())
                .toList())
        .isEqualTo(occurrences);
  }

  @Test
  void mistakesAreReportedWithTheirPlace() {
    assertThatThrownBy(() -> release("Asia/Kyushu", "07:30", DAILY))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("calendar.release[0].zone");
    assertThatThrownBy(() -> release("Asia/Tokyo", "25:30", DAILY))
        .hasMessageContaining("calendar.release[0].time");
    assertThatThrownBy(() -> release("Asia/Tokyo", "07:30", ""))
        .hasMessageContaining("comes out on no day");
    assertThatThrownBy(() -> release("Asia/Tokyo", "07:30", DAILY + "except: '2027-02-29'"))
        .hasMessageContaining("except");
    assertThatThrownBy(() -> release("Asia/Tokyo", "07:30", DAILY + "moved { date: '2027-02-27' }"))
        .hasMessageContaining("moved[0].time: missing");
  }
}
