package io.embernotch.scheduling;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Runs the property of {@link DeadlinesTest} with new seeds. Not part of the build, which must be
 * reproducible; CONTRIBUTING.md describes how to run it.
 */
class DeadlinesSearch extends DeadlinesTest {
  @Override
  @Property(tries = 20_000)
  void noOtherSubsetMeetsMoreDeadlines(
      @ForAll @Size(max = 9) List<@IntRange(min = 1, max = 400) Integer> numbers) {
    super.noOtherSubsetMeetsMoreDeadlines(numbers);
  }
}
