package io.embernotch.persistence;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;
import io.embernotch.testkit.FakeStore;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a load that holds the entries of all jobs at once, and against a job that counts
 * as complete while one of its shards, with an open attempt, has not been read.
 */
class JobEntryScanTest {
  private static final int JOBS = 200;
  private static final int MAX_SHARDS = 4;

  private final FakeTime time = new FakeTime();
  private final FakeStore store = new FakeStore(time);
  private final Settings settings = SettingsReader.parse(SimulatedCluster.settingsToml(0));
  private final StoreClient client =
      new StoreClient(
          (method, to, path, body, timeoutS) -> store.handle(method, path, body),
          time,
          time,
          settings);

  /** Notes the keys that it receives, and which jobs are complete. */
  private static final class RecordingSink implements JobEntryScan.Sink {
    final List<String> keys = new ArrayList<>();
    final Set<String> incomplete = new HashSet<>();
    final List<String> errors = new ArrayList<>();
    int mostIncomplete;

    @Override
    public void submissions(List<VersionedEntry> entries) {
      for (VersionedEntry entry : entries) {
        keys.add(entry.key());
        incomplete.add(JobEntryScan.refOf(entry));
      }
      mostIncomplete = Math.max(mostIncomplete, incomplete.size());
    }

    @Override
    public void shards(List<VersionedEntry> entries) {
      for (VersionedEntry entry : entries) {
        keys.add(entry.key());
        if (!incomplete.contains(JobEntryScan.refOf(entry))) {
          errors.add(entry.key() + " outside the range of its job");
        }
      }
    }

    @Override
    public void rangeRead(Predicate<String> isComplete) {
      incomplete.removeIf(isComplete);
    }
  }

  /** Ids of different lengths, some of which continue others. */
  private List<String> putJobs(SplittableRandom random) {
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String ref = "j-" + random.nextInt(1, 3000) + (random.nextInt(4) == 0 ? "-" + i : "");
      keys.add("job/" + ref);
      int shards = random.nextInt(MAX_SHARDS);
      for (int shard = 0; shard < shards; shard++) {
        keys.add(shard == 0 ? "run/" + ref : "run/" + ref + "/" + shard);
      }
    }
    keys.forEach(key -> store.put(key, "{}"));
    return keys;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 50, 1000})
  void allEntriesArriveWithThoseOfTheirJob(int pageItems) {
    List<String> keys = putJobs(new SplittableRandom(pageItems));
    store.maxPageItems = pageItems;
    RecordingSink sink = new RecordingSink();
    Future<Long> revision = new JobEntryScan(client, RequestPriority.HIGH, () -> false, sink).run();
    // The rate limit allows a few hundred requests of one entry each.
    time.advance(60);
    assertThat(revision.result()).isPositive();
    assertThat(sink.errors).isEmpty();
    assertThat(sink.keys).containsExactlyInAnyOrderElementsOf(new HashSet<>(keys));
    assertThat(sink.incomplete).isEmpty();
    // A page, and the jobs whose ids the last id of the page before continues.
    assertThat(sink.mostIncomplete).isLessThanOrEqualTo(pageItems + 3);
  }
}
