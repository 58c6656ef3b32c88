package io.embernotch.calendar;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * The property of {@link OccurrencesTest} with new seeds on every run. Not part of the build, whose
 * verdict has to be the same every time; CONTRIBUTING.md names the command.
 */
class OccurrencesSearch extends OccurrencesTest {
  @Override
  @Property(tries = 20_000)
  void oneADayAndNoneLostWhereSpansMeet(
      @ForAll @IntRange(min = 0, max = 20_000) int day,
      @ForAll @IntRange(min = 0, max = 1439) int minute,
      @ForAll @IntRange(min = 0, max = 4) int zoneIndex) {
    super.oneADayAndNoneLostWhereSpansMeet(day, minute, zoneIndex);
  }
}
