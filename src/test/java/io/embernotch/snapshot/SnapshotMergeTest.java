package io.embernotch.snapshot;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.End;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.OpenAttemptSnapshot;
import java.util.BitSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Algebraic properties of merging snapshots. */
class SnapshotMergeTest {
  /** Snapshots of a few jobs: some running, some ended, some reduced to their end. */
  @Provide
  Arbitrary<ClusterSnapshot> snapshots() {
    return Arbitraries.longs().map(SnapshotMergeTest::snapshot);
  }

  private static ClusterSnapshot snapshot(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    TreeMap<String, JobSnapshot> jobs = new TreeMap<>();
    TreeMap<String, EndedJobSnapshot> ended = new TreeMap<>();
    for (int i = 0; i < 5; i++) {
      String ref = "j-" + i;
      switch (random.nextInt(4)) {
        case 0 -> {}
        case 1 ->
            ended.put(
                ref,
                EndedJobSnapshot.newBuilder()
                    .setRef(ref)
                    .setEnd(end(random))
                    .setTasks(4)
                    .setDone(random.nextInt(5))
                    .setAtMs(random.nextInt(9))
                    .build());
        default -> jobs.put(ref, job(ref, random));
      }
    }
    return ClusterSnapshot.newBuilder()
        .setEpoch(random.nextInt(9))
        .setWallMs(random.nextInt(9))
        .setComplete(random.nextBoolean())
        .addAllJob(jobs.values())
        .addAllEnded(ended.values())
        .build();
  }

  private static End end(SplittableRandom random) {
    return random.nextBoolean() ? End.DONE : End.CANCELLED;
  }

  private static JobSnapshot job(String ref, SplittableRandom random) {
    BitSet done = BitSet.valueOf(new long[] {random.nextInt(16)});
    JobSnapshot.Builder job =
        JobSnapshot.newBuilder()
            .setRef(ref)
            .setValue(ByteString.copyFromUtf8("{\"piece\":" + random.nextInt(2) + "}"))
            .setNextAttempt(random.nextInt(9))
            .setDone(ByteString.copyFrom(done.toByteArray()));
    if (random.nextInt(3) == 0) {
      job.setEnd(end(random)).setEndedMs(random.nextInt(9));
    }
    for (int task = 0; task < 4; task++) {
      if (random.nextBoolean()) {
        OpenAttemptSnapshot.Builder attempt =
            OpenAttemptSnapshot.newBuilder()
                .setTask(task)
                .setNumber(random.nextInt(4))
                .setMachine("n-" + random.nextInt(3))
                .setZone("z");
        job.addOpen(random.nextBoolean() ? attempt.setWish("n-" + random.nextInt(2)) : attempt);
      }
    }
    return job.build();
  }

  @Property(tries = 500, seed = "4711")
  void mergeIsCommutativeAssociativeAndIdempotent(
      @ForAll("snapshots") ClusterSnapshot a,
      @ForAll("snapshots") ClusterSnapshot b,
      @ForAll("snapshots") ClusterSnapshot c) {
    assertThat(SnapshotMerge.of(a, b)).isEqualTo(SnapshotMerge.of(b, a));
    assertThat(SnapshotMerge.of(a, SnapshotMerge.of(b, c)))
        .isEqualTo(SnapshotMerge.of(SnapshotMerge.of(a, b), c));
    assertThat(SnapshotMerge.of(a, a)).isEqualTo(a);
    assertThat(SnapshotMerge.of(a, SnapshotMerge.of(a, b))).isEqualTo(SnapshotMerge.of(a, b));
  }

  @Property(tries = 500, seed = "4711")
  void mergeLosesNoProgress(
      @ForAll("snapshots") ClusterSnapshot a, @ForAll("snapshots") ClusterSnapshot b) {
    ClusterSnapshot merged = SnapshotMerge.of(a, b);
    TreeMap<String, JobSnapshot> jobs = new TreeMap<>();
    merged.getJobList().forEach(job -> jobs.put(job.getRef(), job));
    TreeSet<String> ended = new TreeSet<>();
    merged.getEndedList().forEach(e -> ended.add(e.getRef()));
    assertThat(jobs.keySet()).noneMatch(ended::contains);
    a.getEndedList().forEach(e -> assertThat(ended).contains(e.getRef()));
    for (JobSnapshot job : a.getJobList()) {
      if (ended.contains(job.getRef())) {
        continue;
      }
      JobSnapshot mergedJob = jobs.get(job.getRef());
      assertThat(mergedJob).isNotNull();
      assertThat(mergedJob.hasEnd() || !job.hasEnd()).isTrue();
      assertThat(mergedJob.getNextAttempt()).isGreaterThanOrEqualTo(job.getNextAttempt());
      BitSet done = BitSet.valueOf(mergedJob.getDone().toByteArray());
      BitSet.valueOf(job.getDone().toByteArray()).stream()
          .forEach(task -> assertThat(done.get(task)).isTrue());
      for (OpenAttemptSnapshot attempt : job.getOpenList()) {
        assertThat(mergedJob.getOpenList())
            .anyMatch(
                n -> n.getTask() == attempt.getTask() && n.getNumber() >= attempt.getNumber());
      }
    }
  }
}
