package io.embernotch.api;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How long a job goes without an answer where more polls arrive than nodes can answer. */
class PollRateLimiterTest {
  /** Each poll is followed by the next one of its job after 4 to 6 s, or a fraction of that. */
  private static final double MIN_INTERVAL_S = 4;

  private static final double INTERVAL_SPREAD_S = 2;
  private static final double FIRST_POLL_WITHIN_S = 5;
  private static final double DURATION_S = 225;

  private record Poll(double at, int job) {}

  private static Settings settings() {
    return SettingsReader.parse(
        SimulatedCluster.settingsToml(0)
            .replace("max_connections = 1000", "max_connections = 938"));
  }

  /**
   * The longest in seconds that any job went without an answer, on so many nodes, polled so many
   * times as often as usual.
   */
  private static double longestWaitS(int jobs, int nodes, int frequency) {
    FakeTime time = new FakeTime();
    SplittableRandom random = new SplittableRandom(3);
    List<PollRateLimiter> limiters = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      limiters.add(new PollRateLimiter(time, time, settings()));
    }
    PriorityQueue<Poll> polls = new PriorityQueue<>(Comparator.comparingDouble(Poll::at));
    double start = time.now();
    double end = start + DURATION_S;
    double[] answeredAt = new double[jobs];
    Arrays.fill(answeredAt, start);
    for (int job = 0; job < jobs; job++) {
      polls.add(new Poll(start + random.nextDouble(FIRST_POLL_WITHIN_S / frequency), job));
    }
    double longest = 0;
    while (polls.peek().at < end) {
      Poll poll = polls.poll();
      time.advance(Math.max(0, poll.at - time.now()));
      PollRateLimiter limiter = limiters.get(random.nextInt(nodes));
      if (limiter.admit("j-" + poll.job)) {
        limiter.recordAnswer("j-" + poll.job);
        longest = Math.max(longest, poll.at - answeredAt[poll.job]);
        answeredAt[poll.job] = poll.at;
      }
      double interval = (MIN_INTERVAL_S + random.nextDouble(INTERVAL_SPREAD_S)) / frequency;
      polls.add(new Poll(poll.at + interval, poll.job));
    }
    double earliest = Arrays.stream(answeredAt).min().orElse(end);
    return Math.max(longest, end - earliest);
  }

  /** If chance decided, some jobs would have every poll refused. */
  @Test
  void noneOfTwentyThousandJobsIsForgotten() {
    assertThat(longestWaitS(20_000, 3, 1)).isLessThan(PollRateLimiter.FORGOTTEN_S);
    assertThat(longestWaitS(20_000, 1, 1)).isLessThan(PollRateLimiter.FORGOTTEN_S);
  }

  @Test
  void noneOfThousandsPolledEightTimesAsOftenIsForgotten() {
    assertThat(longestWaitS(2_500, 1, 8)).isLessThan(PollRateLimiter.FORGOTTEN_S / 2);
  }
}
