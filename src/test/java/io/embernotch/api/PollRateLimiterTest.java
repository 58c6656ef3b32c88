package io.embernotch.api;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Who is answered where more poll than a node can answer. */
class PollRateLimiterTest {
  private record Poll(double at, int job) {}

  /**
   * The longest that any job went without an answer after the first 75 s, on so many nodes, polled
   * at their usual pace.
   */
  private static double longest(int jobs, int nodes, int times) {
    Settings settings =
        SettingsReader.parse(
            SimulatedCluster.settingsToml(0)
                .replace("max_connections = 1000", "max_connections = 938"));
    FakeTime time = new FakeTime();
    SplittableRandom random = new SplittableRandom(3);
    List<PollRateLimiter> at = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      at.add(new PollRateLimiter(time, time, settings));
    }
    PriorityQueue<Poll> polls = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
    double begin = time.now();
    double[] told = new double[jobs];
    for (int j = 0; j < jobs; j++) {
      told[j] = begin;
      polls.add(new Poll(begin + random.nextDouble(5.0 / times), j));
    }
    double worst = 0;
    while (polls.peek().at < begin + 225) {
      Poll p = polls.poll();
      time.advance(Math.max(0, p.at - time.now()));
      PollRateLimiter turns = at.get(random.nextInt(nodes));
      if (turns.admit("j-" + p.job)) {
        turns.told("j-" + p.job);
        worst = Math.max(worst, p.at - told[p.job]);
        told[p.job] = p.at;
      }
      polls.add(new Poll(p.at + (4 + random.nextDouble(2)) / times, p.job));
    }
    for (double t : told) {
      worst = Math.max(worst, begin + 225 - t);
    }
    return worst;
  }

  /** Left to chance, some of them were refused each time they asked. */
  @Test
  void noJobOfTwentyThousandIsForgotten() {
    assertThat(longest(20_000, 3, 1)).isLessThan(PollRateLimiter.FORGOTTEN_S);
    assertThat(longest(20_000, 1, 1)).isLessThan(PollRateLimiter.FORGOTTEN_S);
  }

  @Test
  void norOfThousandsThatAskEightTimesAsOften() {
    assertThat(longest(2_500, 1, 8)).isLessThan(PollRateLimiter.FORGOTTEN_S / 2);
  }
}
