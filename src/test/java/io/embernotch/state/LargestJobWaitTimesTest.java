package io.embernotch.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.testkit.TestJobs;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which jobs' wait times the status line of {@link LargestJobWaitTimes} contains. */
class LargestJobWaitTimesTest {
  private static Job job(int number, int tasks) {
    return new Job(
        JobCodec.read(
            Json.parseObject(
                TestJobs.job("j-" + number, "array", tasks).getBytes(StandardCharsets.UTF_8))),
        1000);
  }

  @Test
  void onlyTheLargestTenthOfAClassCountsAndPresentWaitsAreIncluded() {
    LargestJobWaitTimes largestJobWaitTimes = new LargestJobWaitTimes();
    assertThat(largestJobWaitTimes.statusLine(List.of(), 0)).isNull();
    for (int i = 0; i < 100; i++) {
      largestJobWaitTimes.recordStart(job(i, 1 + i % 10), 2000);
    }
    largestJobWaitTimes.recordStart(job(200, 40), 61_000);
    assertThat(largestJobWaitTimes.statusLine(List.of(job(300, 2), job(301, 50)), 31_000))
        .contains("max 60")
        .endsWith("one waiting for 30000 ms");
    assertThat(largestJobWaitTimes.statusLine(List.of(job(300, 2)), 31_000))
        .doesNotContain("waiting for");
  }
}
