package io.embernotch.persistence;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.TestJobs;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Tests a job with several shards that no longer fit after the store has lowered its limits.
 *
 * <p>Guards against refining such a job once for each oversized shard: a job with two oversized
 * shards of 40 tasks ended up with shards of 5 tasks where 10 fit, which doubled the number of
 * later changes. Also guards against splitting a shard that is already in the batch: the job's
 * third shard, which fitted, was written both whole and in refined shards.
 */
class BatchBuilderTest {
  private static final int SAFE_BYTES = 600;

  private final FakeTime time = new FakeTime();
  private final ShardLayout layout = new ShardLayout(10);
  private final DirtyShards dirtyShards = new DirtyShards(layout);
  private final ShardRefiner refiner = new ShardRefiner(layout, dirtyShards, time, SAFE_BYTES, 5);

  private Job job(String ref) {
    String json = TestJobs.job(ref, "array", 120);
    layout.recordShardSize(ref, 40);
    return new Job(JobCodec.read(Json.parseObject(json.getBytes(StandardCharsets.UTF_8))), 0);
  }

  private Batch build() {
    return new BatchBuilder(7, new ModRevisions(null, time, 1, () -> false), refiner, 100)
        .build(dirtyShards.pending(), time.now(), true);
  }

  @Test
  void aJobWithSeveralOversizedShardsIsRefinedOnceAndNoTaskIsWrittenTwice() {
    refiner.recordLimitsLowered();
    Job large = job("j-1");
    for (int task = 40; task < 120; task++) {
      large.openAttempts.put(task, new Attempt(large, task, 1, "n-000001", "z1", 0));
    }
    Job small = job("j-2");
    for (int task : new int[] {0, 40, 80}) {
      dirtyShards.mark(large, task, RequestPriority.NORMAL, time.now());
      dirtyShards.mark(small, task, RequestPriority.NORMAL, time.now());
    }
    Batch batch = build();
    assertThat(batch.oversized()).containsExactly(large);
    assertThat(batch.shards().keySet()).containsExactly("run/j-2", "run/j-2/1", "run/j-2/2");
    batch.oversized().forEach(refiner::refine);
    assertThat(layout.shardSize("j-1")).isEqualTo(10);
    dirtyShards.onSent(batch.shards());
    dirtyShards.onStored();
    assertThat(build().shards().keySet())
        .containsExactly("part/j-1/10/0", "part/j-1/10/4", "part/j-1/10/8");
  }
}
