package io.embernotch.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Job;
import io.embernotch.scheduling.Deadlines.Entry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.ToDoubleFunction;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Which jobs meet their deadlines if not all can. */
class DeadlinesTest {
  private static final int SEEDS = 3;

  /** Compares with all subsets: in none do more jobs meet their deadlines. */
  @Property(tries = 300, seed = "4711")
  void noOtherSubsetMeetsMoreDeadlines(
      @ForAll @Size(max = 9) List<@IntRange(min = 1, max = 400) Integer> numbers) {
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < numbers.size(); i++) {
      entries.add(new Entry("j-" + i, 1 + numbers.get(i) % 20, numbers.get(i) / 6.0));
    }
    int most = 0;
    for (int subset = 0; subset < 1 << entries.size(); subset++) {
      int chosen = subset;
      List<Entry> inOrder =
          entries.stream()
              .filter(entry -> (chosen >> entries.indexOf(entry) & 1) == 1)
              .sorted((one, other) -> Double.compare(one.dueS(), other.dueS()))
              .toList();
      most = Math.max(most, allInTime(inOrder) ? inOrder.size() : 0);
    }
    assertThat(entries.size() - Deadlines.missed(entries).size()).isEqualTo(most);
  }

  private static boolean allInTime(List<Entry> inOrder) {
    double totalS = 0;
    boolean inTime = true;
    for (Entry entry : inOrder) {
      totalS += entry.processingS();
      inTime &= totalS <= entry.dueS();
    }
    return inTime;
  }

  private static double mean(
      double load,
      BiConsumer<Job, Double> setDeadline,
      ToDoubleFunction<ReleaseDeadlineSimulation.Result> share) {
    double sum = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      sum += share.applyAsDouble(ReleaseDeadlineSimulation.run(load, seed, setDeadline)) / SEEDS;
    }
    return sum;
  }

  /**
   * Compares the share of jobs in time for three orders: by arrival, by the jobs' own deadlines,
   * and by the release deadlines of the calendar.
   */
  @Test
  void releaseDeadlinesKeepMoreJobsInTimeThanArrivalOrOwnDeadlines() {
    BiConsumer<Job, Double> arrival = (job, due) -> {};
    BiConsumer<Job, Double> own =
        (job, due) -> job.latestStartMs = Math.round(due * 1000 - job.spec.expectS() * 1000);
    BiConsumer<Job, Double> calendar = (job, due) -> job.releaseDeadlineMs = Math.round(due * 1000);
    ToDoubleFunction<ReleaseDeadlineSimulation.Result> inTime =
        ReleaseDeadlineSimulation.Result::inTime;
    ToDoubleFunction<ReleaseDeadlineSimulation.Result> othersDone =
        ReleaseDeadlineSimulation.Result::othersDone;
    for (double load : new double[] {0.7, 1.0, 1.5}) {
      double byArrival = mean(load, arrival, inTime);
      double byOwn = mean(load, own, inTime);
      double byCalendar = mean(load, calendar, inTime);
      System.out.printf(
          "load %.1f: arrival %.3f, due %.3f, calendar %.3f; rest %.3f %.3f %.3f%n",
          load,
          byArrival,
          byOwn,
          byCalendar,
          mean(load, arrival, othersDone),
          mean(load, own, othersDone),
          mean(load, calendar, othersDone));
      assertThat(byCalendar).isGreaterThanOrEqualTo(byArrival - 0.005);
      assertThat(mean(load, calendar, othersDone)).isGreaterThan(0.5);
    }
    assertThat(mean(1.5, calendar, inTime)).isGreaterThan(mean(1.5, own, inTime));
  }
}
