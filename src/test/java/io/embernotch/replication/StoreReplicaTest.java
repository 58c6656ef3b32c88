package io.embernotch.replication;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.End;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import io.embernotch.store.VersionedEntry;
import io.embernotch.testkit.TestJobs;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which entries a replica keeps, and when it reduces a job to its end. */
class StoreReplicaTest {
  private static final int TASKS = 4;
  private static final int SHARD_SIZE = 2;
  private static final long ENOUGH_BYTES = 1 << 20;

  private final StoreReplica replica = new StoreReplica(ENOUGH_BYTES);

  private static Job job(String ref) {
    byte[] spec = TestJobs.job(ref, "array", TASKS).getBytes(StandardCharsets.UTF_8);
    return new Job(JobCodec.read(Json.parseObject(spec)), 77);
  }

  private static Job ended(String ref) {
    Job job = job(ref);
    job.finalPhase = JobPhase.CANCELLED;
    job.endedMs = 99;
    return job;
  }

  private static Job withOpenAttempt(Job job, int task) {
    job.openAttempts.put(task, new Attempt(job, task, 1, "n-1", "z1", 0));
    return job;
  }

  private static void putJob(StoreReplica target, Job job, long revision) {
    ObjectNode value = JobProgressCodec.writeJob(job, SHARD_SIZE);
    target.put(JobProgressCodec.JOB_PREFIX + job.spec.ref(), Json.bytes(value), revision);
  }

  private static void putShard(StoreReplica target, Job job, int shard, long revision) {
    ObjectNode value = JobProgressCodec.writeShard(job, SHARD_SIZE, shard);
    target.put(JobProgressCodec.shardKey(job.spec.ref(), shard), Json.bytes(value), revision);
  }

  private void put(String key, String json, long revision) {
    replica.put(key, json.getBytes(StandardCharsets.UTF_8), revision);
  }

  private static void putEnded(StoreReplica target, String ref, long revision) {
    putJob(target, job(ref), revision);
    putShard(target, ended(ref), 0, revision + 1);
  }

  private List<String> jobs() {
    return replica.snapshot().getJobList().stream().map(JobSnapshot::getRef).toList();
  }

  private static List<String> ends(StoreReplica source) {
    return source.snapshot().getEndedList().stream().map(EndedJobSnapshot::getRef).toList();
  }

  /** Guards against a newer entry that is overwritten by an older one that arrives later. */
  @Test
  void entryWithHighestRevisionIsKeptInAnyOrder() {
    Job older = job("j-1");
    Job newer = job("j-1");
    newer.nextAttempt = 8;
    putJob(replica, older, 10);
    putShard(replica, newer, 0, 13);
    putShard(replica, older, 0, 12);
    put("shared/x", "{\"n\":1}", 20);
    put("shared/x", "{\"n\":2}", 21);
    put("shared/x", "{\"n\":3}", 21);
    put("shared/x", "{\"n\":4}", 19);
    assertThat(replica.snapshot().getJob(0).getNextAttempt()).isEqualTo(8);
    assertThat(replica.snapshot().getShared(0).getValue().toStringUtf8()).isEqualTo("{\"n\":2}");
    assertThat(replica.snapshot().getComplete()).isFalse();
  }

  /** Guards against a size estimate that counts replaced values of a key. */
  @Test
  void replacementOfSameSizeTakesNoMoreMemory() {
    put("shared/x", "{\"n\":1}", 20);
    long bytes = replica.bytes();
    put("shared/x", "{\"n\":2}", 21);
    assertThat(replica.bytes()).isEqualTo(bytes).isPositive();
  }

  /** Guards against a replica that grows with every job that was ever submitted. */
  @Test
  void endedJobIsReducedToItsEnd() {
    putJob(replica, job("j-1"), 10);
    putShard(replica, job("j-1"), 1, 11);
    long bytesOfJob = replica.bytes();
    putShard(replica, ended("j-1"), 0, 12);
    assertThat(jobs()).isEmpty();
    EndedJobSnapshot end = replica.snapshot().getEnded(0);
    assertThat(end.getRef()).isEqualTo("j-1");
    assertThat(end.getEnd()).isEqualTo(End.CANCELLED);
    assertThat(end.getAtMs()).isEqualTo(99);
    assertThat(end.getTasks()).isEqualTo(TASKS);
    assertThat(replica.bytes()).isPositive().isLessThan(bytesOfJob);
  }

  /** Guards against an ended job that runs again after a late or rolled back entry of it. */
  @Test
  void furtherEntriesOfEndedJobAreIgnored() {
    putEnded(replica, "j-1", 10);
    ClusterSnapshot before = replica.snapshot();
    long bytes = replica.bytes();
    putJob(replica, job("j-1"), 9);
    putShard(replica, withOpenAttempt(job("j-1"), 0), 0, 8);
    putShard(replica, withOpenAttempt(job("j-1"), 2), 1, 30);
    assertThat(replica.snapshot()).isEqualTo(before);
    assertThat(replica.bytes()).isEqualTo(bytes);
  }

  /** Guards against attempts that keep running and that no controller knows of. */
  @Test
  void endedJobKeepsItsEntriesUntilItsOpenAttemptsEnd() {
    putJob(replica, job("j-1"), 10);
    putShard(replica, withOpenAttempt(ended("j-1"), 1), 0, 11);
    assertThat(jobs()).containsExactly("j-1");
    assertThat(replica.snapshot().getJob(0).getEnd()).isEqualTo(End.CANCELLED);
    assertThat(replica.snapshot().getJob(0).getOpenCount()).isEqualTo(1);
    putShard(replica, ended("j-1"), 0, 12);
    assertThat(jobs()).isEmpty();
    assertThat(ends(replica)).containsExactly("j-1");
  }

  /** Guards against losing open attempts that are in a shard other than the first. */
  @Test
  void openAttemptInAnotherShardKeepsEntriesOfEndedJob() {
    putJob(replica, job("j-1"), 10);
    putShard(replica, withOpenAttempt(job("j-1"), 2), 1, 11);
    putShard(replica, ended("j-1"), 0, 12);
    assertThat(jobs()).containsExactly("j-1");
    assertThat(replica.snapshot().getJob(0).getOpen(0).getTask()).isEqualTo(2);
  }

  /** Guards against losing jobs that were not written since the incarnation began. */
  @Test
  void entriesAreOverlaidOnBaseSnapshot() {
    StoreReplica earlierReplica = new StoreReplica(ENOUGH_BYTES);
    putJob(earlierReplica, job("j-1"), 10);
    putJob(earlierReplica, job("j-2"), 11);
    putEnded(earlierReplica, "j-3", 12);
    replica.reset(new BaseSnapshot(earlierReplica.snapshot(), 20));
    putShard(replica, ended("j-2"), 0, 30);
    putJob(replica, job("j-3"), 31);
    putJob(replica, job("j-4"), 32);
    assertThat(jobs()).contains("j-1", "j-4").doesNotContain("j-3");
    assertThat(ends(replica)).contains("j-2", "j-3").doesNotContain("j-1");
  }

  /** Guards against entries of an earlier incarnation in the replica of a later one. */
  @Test
  void resetRemovesAllEntries() {
    putEnded(replica, "j-1", 10);
    putJob(replica, job("j-2"), 20);
    put("shared/x", "{}", 21);
    replica.reset(BaseSnapshot.EMPTY);
    assertThat(replica.bytes()).isZero();
    assertThat(replica.snapshot())
        .isEqualTo(ClusterSnapshot.newBuilder().setComplete(false).build());
  }

  /** Guards against evicting jobs before ended jobs, and against unreported evictions. */
  @Test
  void oldestEndedJobsAreEvictedBeforeOtherJobs() {
    putJob(replica, job("j-1"), 1);
    long bytesOfOneJob = replica.bytes();
    StoreReplica bounded = new StoreReplica(2 * bytesOfOneJob + 400);
    putEnded(bounded, "j-2", 10);
    putEnded(bounded, "j-3", 20);
    assertThat(bounded.hasEvicted()).isFalse();
    putJob(bounded, job("j-4"), 30);
    putJob(bounded, job("j-5"), 40);
    assertThat(bounded.hasEvicted()).isFalse();
    putShard(bounded, job("j-5"), 1, 41);
    assertThat(bounded.hasEvicted()).isTrue();
    assertThat(ends(bounded)).containsExactly("j-3");
    assertThat(bounded.snapshot().getJobList()).hasSize(2);
    putJob(bounded, job("j-6"), 50);
    assertThat(ends(bounded)).isEmpty();
    assertThat(bounded.snapshot().getJobList())
        .extracting(JobSnapshot::getRef)
        .containsExactly("j-5", "j-6");
    assertThat(bounded.bytes()).isLessThanOrEqualTo(2 * bytesOfOneJob + 400);
    bounded.reset(BaseSnapshot.EMPTY);
    assertThat(bounded.hasEvicted()).isFalse();
  }

  /** Guards against replicating keys that a restore does not need. */
  @Test
  void unreplicatedKeysAndDeletionsAreIgnored() {
    put("steward", "{}", 10);
    put("worker/n-1", "{}", 11);
    put("jobs/j-1", "{}", 12);
    replica.put(VersionedEntry.absent("job/j-1"));
    assertThat(replica.bytes()).isZero();
    assertThat(replica.snapshot().getJobList()).isEmpty();
  }

  /** Guards against one malformed entry that prevents the others from being restored. */
  @Test
  void malformedValuesDoNotAffectOtherEntries() {
    put("job/j-0", "{}", 10);
    put("run/j-0", "{\"end\":\"perhaps\"}", 11);
    put("part/j-0/x/0", "{\"end\":\"done\"}", 12);
    put("run/j-0/x", "{\"open\":7}", 13);
    put("run/j-9", "{\"end\":\"done\"}", 14);
    putJob(replica, job("j-1"), 20);
    putEnded(replica, "j-2", 21);
    assertThat(jobs()).containsExactly("j-1");
    assertThat(ends(replica)).containsExactly("j-2");
  }

  /** Guards against one damaged update of another controller that makes the replica unreadable. */
  @Test
  void invalidJsonDoesNotAffectOtherEntries() {
    put("job/j-8", "not JSON", 15);
    put("run/j-8", "not JSON", 16);
    put("shared/x", "not JSON", 17);
    putJob(replica, job("j-1"), 20);
    putEnded(replica, "j-2", 21);
    assertThat(jobs()).containsExactly("j-1");
    assertThat(ends(replica)).containsExactly("j-2");
  }

  /** Guards against an ended job that is never reduced since its last attempt ended late. */
  @Test
  void endedJobIsReducedOnceLastOpenAttemptOfAnotherShardEnds() {
    putJob(replica, job("j-1"), 10);
    putShard(replica, withOpenAttempt(job("j-1"), 2), 1, 11);
    putShard(replica, ended("j-1"), 0, 12);
    putShard(replica, ended("j-1"), 1, 13);
    assertThat(jobs()).isEmpty();
    assertThat(ends(replica)).containsExactly("j-1");
  }

  /** Guards against an ended job that is never reduced since its submission arrived last. */
  @Test
  void endedJobIsReducedInAnyOrderOfEntries() {
    putShard(replica, ended("j-1"), 0, 12);
    putJob(replica, job("j-1"), 10);
    assertThat(jobs()).isEmpty();
    assertThat(ends(replica)).containsExactly("j-1");
  }
}
