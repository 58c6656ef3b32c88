package io.embernotch.testkit;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * The seeds that a randomized test runs with.
 *
 * @param first the first seed
 * @param count how many, one after the other
 */
public record SeedRange(int first, int count) {
  /** Seeds 1 to {@code count}, unless the properties NAME.from and NAME.seeds choose others. */
  public static SeedRange fromProperties(String name, int count) {
    return new SeedRange(
        Integer.getInteger(name + ".from", 1), Integer.getInteger(name + ".seeds", count));
  }

  /** The violations that a run found, by seed; empty if none found any. */
  public Map<Long, List<String>> violations(LongFunction<List<String>> run) {
    Map<Long, List<String>> violationsOfSeed = new TreeMap<>();
    for (long seed = first; seed < first + count; seed++) {
      List<String> violations = run.apply(seed);
      if (!violations.isEmpty()) {
        violationsOfSeed.put(seed, violations);
      }
    }
    return violationsOfSeed;
  }
}
