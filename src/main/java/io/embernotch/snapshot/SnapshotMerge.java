package io.embernotch.snapshot;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.embernotch.codec.Json;
import io.embernotch.codec.Versions;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.End;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.OpenAttemptSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.SharedStateEntry;
import java.util.BitSet;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BinaryOperator;

/**
 * Two copies of the same jobs, of which neither need be the newer one in everything, made one that
 * takes nothing back: ends are final, done marks are united, attempt numbers are the highest, and
 * of each task the open attempt of the highest number stays, since a later one is only begun once
 * those before it are proven gone. That an attempt is missing from one copy proves nothing. A job
 * of which only its end is left, since all its attempts were proven gone, stays so. Commutative,
 * associative, idempotent, and no less than either ({@code SnapshotMergeTest}).
 */
public final class SnapshotMerge {
  private static final Comparator<OpenAttemptSnapshot> LATER =
      Comparator.comparingLong(OpenAttemptSnapshot::getNumber)
          .thenComparing(OpenAttemptSnapshot::getMachine)
          .thenComparing(OpenAttemptSnapshot::getZone)
          .thenComparing(OpenAttemptSnapshot::hasWish)
          .thenComparing(OpenAttemptSnapshot::getWish);

  private SnapshotMerge() {}

  public static ClusterSnapshot of(ClusterSnapshot a, ClusterSnapshot b) {
    TreeMap<String, EndedJobSnapshot> ended = new TreeMap<>();
    for (ClusterSnapshot snapshot : new ClusterSnapshot[] {a, b}) {
      snapshot.getEndedList().forEach(e -> ended.merge(e.getRef(), e, SnapshotMerge::ends));
    }
    TreeMap<String, JobSnapshot> jobs = new TreeMap<>();
    for (ClusterSnapshot snapshot : new ClusterSnapshot[] {a, b}) {
      for (JobSnapshot job : snapshot.getJobList()) {
        if (!ended.containsKey(job.getRef())) {
          jobs.merge(job.getRef(), job, SnapshotMerge::jobs);
        }
      }
    }
    return ClusterSnapshot.newBuilder()
        .setEpoch(Math.max(a.getEpoch(), b.getEpoch()))
        .setWallMs(Math.max(a.getWallMs(), b.getWallMs()))
        .setComplete(a.getComplete() && b.getComplete())
        .addAllShared(shared(a, b).values())
        .addAllJob(jobs.values())
        .addAllEnded(ended.values())
        .build();
  }

  private static Map<String, SharedStateEntry> shared(ClusterSnapshot a, ClusterSnapshot b) {
    TreeMap<String, SharedStateEntry> out = new TreeMap<>();
    for (ClusterSnapshot snapshot : new ClusterSnapshot[] {a, b}) {
      snapshot
          .getSharedList()
          .forEach(
              s ->
                  out.merge(
                      s.getName(),
                      s,
                      (x, y) -> {
                        ObjectNode one = Json.parseObject(x.getValue().toByteArray());
                        return Versions.later(one, Json.parseObject(y.getValue().toByteArray()))
                                == one
                            ? x
                            : y;
                      }));
    }
    return out;
  }

  private static EndedJobSnapshot ends(EndedJobSnapshot a, EndedJobSnapshot b) {
    return EndedJobSnapshot.newBuilder()
        .setRef(a.getRef())
        .setEnd(end(a.getEnd(), b.getEnd()))
        .setTasks(Math.max(a.getTasks(), b.getTasks()))
        .setDone(Math.max(a.getDone(), b.getDone()))
        .setAtMs(Math.max(a.getAtMs(), b.getAtMs()))
        .build();
  }

  /**
   * Both can't be: an end is decided once. Were it so all the same, the choice does not depend on
   * the order.
   */
  private static End end(End a, End b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  private static JobSnapshot jobs(JobSnapshot a, JobSnapshot b) {
    BitSet done = BitSet.valueOf(a.getDone().toByteArray());
    done.or(BitSet.valueOf(b.getDone().toByteArray()));
    Map<Integer, OpenAttemptSnapshot> open = new TreeMap<>();
    for (JobSnapshot snapshot : new JobSnapshot[] {a, b}) {
      snapshot.getOpenList().forEach(o -> open.merge(o.getTask(), o, BinaryOperator.maxBy(LATER)));
    }
    // Descriptions never change; only the size of the shards that they are kept in may.
    ByteString value =
        ByteString.unsignedLexicographicalComparator().compare(a.getValue(), b.getValue()) >= 0
            ? a.getValue()
            : b.getValue();
    JobSnapshot.Builder out =
        JobSnapshot.newBuilder()
            .setRef(a.getRef())
            .setValue(value)
            .setNextAttempt(Math.max(a.getNextAttempt(), b.getNextAttempt()))
            .setDone(ByteString.copyFrom(done.toByteArray()))
            .addAllOpen(open.values());
    if (a.hasEnd() || b.hasEnd()) {
      out.setEnd(!a.hasEnd() ? b.getEnd() : !b.hasEnd() ? a.getEnd() : end(a.getEnd(), b.getEnd()));
      out.setEndedMs(Math.max(a.getEndedMs(), b.getEndedMs()));
    }
    return out.build();
  }
}
