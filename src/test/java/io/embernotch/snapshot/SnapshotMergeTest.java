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

class SnapshotMergeTest {
  /** Copies of a few jobs, each with some tasks done or open, ended, or reduced to its end. */
  @Provide
  Arbitrary<ClusterSnapshot> copies() {
    return Arbitraries.longs().map(SnapshotMergeTest::copy);
  }

  private static ClusterSnapshot copy(long seed) {
    SplittableRandom r = new SplittableRandom(seed);
    TreeMap<String, JobSnapshot> jobs = new TreeMap<>();
    TreeMap<String, EndedJobSnapshot> ended = new TreeMap<>();
    for (int i = 0; i < 5; i++) {
      String ref = "j-" + i;
      switch (r.nextInt(4)) {
        case 0 -> {}
        case 1 ->
            ended.put(
                ref,
                EndedJobSnapshot.newBuilder()
                    .setRef(ref)
                    .setEnd(end(r))
                    .setTasks(4)
                    .setDone(r.nextInt(5))
                    .setAtMs(r.nextInt(9))
                    .build());
        default -> jobs.put(ref, job(ref, r));
      }
    }
    return ClusterSnapshot.newBuilder()
        .setEpoch(r.nextInt(9))
        .setWallMs(r.nextInt(9))
        .setComplete(r.nextBoolean())
        .addAllJob(jobs.values())
        .addAllEnded(ended.values())
        .build();
  }

  private static End end(SplittableRandom r) {
    return r.nextBoolean() ? End.DONE : End.CANCELLED;
  }

  private static JobSnapshot job(String ref, SplittableRandom r) {
    BitSet done = BitSet.valueOf(new long[] {r.nextInt(16)});
    JobSnapshot.Builder b =
        JobSnapshot.newBuilder()
            .setRef(ref)
            .setValue(ByteString.copyFromUtf8("{\"piece\":" + r.nextInt(2) + "}"))
            .setNextAttempt(r.nextInt(9))
            .setDone(ByteString.copyFrom(done.toByteArray()));
    if (r.nextInt(3) == 0) {
      b.setEnd(end(r)).setEndedMs(r.nextInt(9));
    }
    for (int task = 0; task < 4; task++) {
      if (r.nextBoolean()) {
        OpenAttemptSnapshot.Builder o =
            OpenAttemptSnapshot.newBuilder()
                .setTask(task)
                .setNumber(r.nextInt(4))
                .setMachine("n-" + r.nextInt(3))
                .setZone("z");
        b.addOpen(r.nextBoolean() ? o.setWish("n-" + r.nextInt(2)) : o);
      }
    }
    return b.build();
  }

  @Property(tries = 500, seed = "4711")
  void theOrderDoesNotMatter(
      @ForAll("copies") ClusterSnapshot a,
      @ForAll("copies") ClusterSnapshot b,
      @ForAll("copies") ClusterSnapshot c) {
    assertThat(SnapshotMerge.of(a, b)).isEqualTo(SnapshotMerge.of(b, a));
    assertThat(SnapshotMerge.of(a, SnapshotMerge.of(b, c)))
        .isEqualTo(SnapshotMerge.of(SnapshotMerge.of(a, b), c));
    assertThat(SnapshotMerge.of(a, a)).isEqualTo(a);
    assertThat(SnapshotMerge.of(a, SnapshotMerge.of(a, b))).isEqualTo(SnapshotMerge.of(a, b));
  }

  @Property(tries = 500, seed = "4711")
  void nothingIsTakenBack(
      @ForAll("copies") ClusterSnapshot a, @ForAll("copies") ClusterSnapshot b) {
    ClusterSnapshot m = SnapshotMerge.of(a, b);
    TreeMap<String, JobSnapshot> jobs = new TreeMap<>();
    m.getJobList().forEach(j -> jobs.put(j.getRef(), j));
    TreeSet<String> ended = new TreeSet<>();
    m.getEndedList().forEach(e -> ended.add(e.getRef()));
    assertThat(jobs.keySet()).noneMatch(ended::contains);
    a.getEndedList().forEach(e -> assertThat(ended).contains(e.getRef()));
    for (JobSnapshot j : a.getJobList()) {
      if (ended.contains(j.getRef())) {
        continue;
      }
      JobSnapshot now = jobs.get(j.getRef());
      assertThat(now).isNotNull();
      assertThat(now.hasEnd() || !j.hasEnd()).isTrue();
      assertThat(now.getNextAttempt()).isGreaterThanOrEqualTo(j.getNextAttempt());
      BitSet done = BitSet.valueOf(now.getDone().toByteArray());
      BitSet.valueOf(j.getDone().toByteArray()).stream()
          .forEach(t -> assertThat(done.get(t)).isTrue());
      for (OpenAttemptSnapshot o : j.getOpenList()) {
        assertThat(now.getOpenList())
            .anyMatch(n -> n.getTask() == o.getTask() && n.getNumber() >= o.getNumber());
      }
    }
  }
}
