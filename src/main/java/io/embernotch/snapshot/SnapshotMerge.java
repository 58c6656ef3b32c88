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
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BinaryOperator;

/**
 * Merges two snapshots of the same cluster, of which neither need be the newer one in everything,
 * into one that loses nothing of either: ends are final, done marks are united, attempt numbers are
 * the highest, and of each task the open attempt of the highest number stays, since a later one is
 * only begun once those before it are proven gone. That an attempt is missing from one snapshot
 * proves nothing. A job of which only its end is left, since all its attempts were proven gone,
 * stays so. The merge is commutative, associative, idempotent and monotonic ({@code
 * SnapshotMergeTest}).
 */
public final class SnapshotMerge {
  private static final Comparator<OpenAttemptSnapshot> LATER =
      Comparator.comparingLong(OpenAttemptSnapshot::getNumber)
          .thenComparing(OpenAttemptSnapshot::getMachine)
          .thenComparing(OpenAttemptSnapshot::getZone)
          .thenComparing(OpenAttemptSnapshot::hasWish)
          .thenComparing(OpenAttemptSnapshot::getWish);

  private SnapshotMerge() {}

  /** The merge of two snapshots. */
  public static ClusterSnapshot of(ClusterSnapshot a, ClusterSnapshot b) {
    List<ClusterSnapshot> both = List.of(a, b);
    Map<String, EndedJobSnapshot> ended = endedJobs(both);
    ClusterSnapshot.Builder merged =
        ClusterSnapshot.newBuilder()
            .setEpoch(Math.max(a.getEpoch(), b.getEpoch()))
            .setWallMs(Math.max(a.getWallMs(), b.getWallMs()))
            .setComplete(a.getComplete() && b.getComplete())
            .addAllShared(shared(both).values())
            .addAllJob(jobs(both, ended).values())
            .addAllEnded(ended.values());
    if (a.getJobsMissing() || b.getJobsMissing()) {
      merged.setJobsMissing(true);
    }
    return merged.build();
  }

  /**
   * A snapshot that is the newest in all that it holds, with what it lacks of another one: jobs
   * that were accepted and not made known to whoever it is from, and ends, which are final.
   */
  public static ClusterSnapshot supplemented(ClusterSnapshot newest, ClusterSnapshot other) {
    Set<String> known = new HashSet<>();
    newest.getJobList().forEach(job -> known.add(job.getRef()));
    newest.getEndedList().forEach(job -> known.add(job.getRef()));
    ClusterSnapshot.Builder supplemented = newest.toBuilder();
    other.getJobList().stream()
        .filter(job -> !known.contains(job.getRef()))
        .forEach(supplemented::addJob);
    other.getEndedList().stream()
        .filter(job -> !known.contains(job.getRef()))
        .forEach(supplemented::addEnded);
    return withEnds(supplemented.build(), ends(other));
  }

  /** The ends of all jobs that have ended, with and without open attempts. */
  private static List<EndedJobSnapshot> ends(ClusterSnapshot snapshot) {
    List<EndedJobSnapshot> ends = new ArrayList<>(snapshot.getEndedList());
    snapshot.getJobList().stream()
        .filter(JobSnapshot::hasEnd)
        .map(
            job ->
                EndedJobSnapshot.newBuilder()
                    .setRef(job.getRef())
                    .setEnd(job.getEnd())
                    .setAtMs(job.getEndedMs())
                    .build())
        .forEach(ends::add);
    return ends;
  }

  /**
   * A snapshot with further ends of jobs, that users may have been told. Of a job that it holds the
   * open attempts stay, since nothing proves that they are gone.
   */
  public static ClusterSnapshot withEnds(ClusterSnapshot snapshot, List<EndedJobSnapshot> ends) {
    Map<String, EndedJobSnapshot> unknown = new TreeMap<>();
    ends.forEach(end -> unknown.put(end.getRef(), end));
    snapshot.getEndedList().forEach(end -> unknown.remove(end.getRef()));
    ClusterSnapshot.Builder merged = snapshot.toBuilder();
    for (JobSnapshot.Builder job : merged.getJobBuilderList()) {
      EndedJobSnapshot end = unknown.remove(job.getRef());
      if (end != null && !job.hasEnd()) {
        job.setEnd(end.getEnd()).setEndedMs(end.getAtMs());
      }
    }
    return merged.addAllEnded(unknown.values()).build();
  }

  private static Map<String, EndedJobSnapshot> endedJobs(List<ClusterSnapshot> snapshots) {
    Map<String, EndedJobSnapshot> ended = new TreeMap<>();
    for (ClusterSnapshot snapshot : snapshots) {
      snapshot
          .getEndedList()
          .forEach(job -> ended.merge(job.getRef(), job, SnapshotMerge::mergeEnded));
    }
    return ended;
  }

  private static Map<String, JobSnapshot> jobs(
      List<ClusterSnapshot> snapshots, Map<String, EndedJobSnapshot> ended) {
    Map<String, JobSnapshot> jobs = new TreeMap<>();
    for (ClusterSnapshot snapshot : snapshots) {
      for (JobSnapshot job : snapshot.getJobList()) {
        if (!ended.containsKey(job.getRef())) {
          jobs.merge(job.getRef(), job, SnapshotMerge::mergeJobs);
        }
      }
    }
    return jobs;
  }

  private static Map<String, SharedStateEntry> shared(List<ClusterSnapshot> snapshots) {
    Map<String, SharedStateEntry> shared = new TreeMap<>();
    for (ClusterSnapshot snapshot : snapshots) {
      snapshot
          .getSharedList()
          .forEach(entry -> shared.merge(entry.getName(), entry, SnapshotMerge::later));
    }
    return shared;
  }

  @SuppressWarnings("ReferenceEquality") // Versions.later returns one of its two arguments.
  private static SharedStateEntry later(SharedStateEntry a, SharedStateEntry b) {
    ObjectNode valueOfA = Json.parseObject(a.getValue().toByteArray());
    ObjectNode valueOfB = Json.parseObject(b.getValue().toByteArray());
    return Versions.later(valueOfA, valueOfB) == valueOfA ? a : b;
  }

  private static EndedJobSnapshot mergeEnded(EndedJobSnapshot a, EndedJobSnapshot b) {
    return EndedJobSnapshot.newBuilder()
        .setRef(a.getRef())
        .setEnd(end(a.getEnd(), b.getEnd()))
        .setTasks(Math.max(a.getTasks(), b.getTasks()))
        .setDone(Math.max(a.getDone(), b.getDone()))
        .setAtMs(Math.max(a.getAtMs(), b.getAtMs()))
        .build();
  }

  /**
   * An end is decided once, so both are the same. Were they not, the choice does not depend on the
   * order of the arguments.
   */
  private static End end(End a, End b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  private static JobSnapshot mergeJobs(JobSnapshot a, JobSnapshot b) {
    BitSet done = BitSet.valueOf(a.getDone().toByteArray());
    done.or(BitSet.valueOf(b.getDone().toByteArray()));
    Map<Integer, OpenAttemptSnapshot> open = new TreeMap<>();
    for (JobSnapshot job : List.of(a, b)) {
      job.getOpenList()
          .forEach(attempt -> open.merge(attempt.getTask(), attempt, BinaryOperator.maxBy(LATER)));
    }
    JobSnapshot.Builder merged =
        JobSnapshot.newBuilder()
            .setRef(a.getRef())
            .setValue(submission(a, b))
            .setNextAttempt(Math.max(a.getNextAttempt(), b.getNextAttempt()))
            .setDone(ByteString.copyFrom(done.toByteArray()))
            .addAllOpen(open.values());
    if (a.hasEnd() || b.hasEnd()) {
      merged.setEnd(end(a, b)).setEndedMs(Math.max(a.getEndedMs(), b.getEndedMs()));
    }
    return merged.build();
  }

  /** Submissions never change; only the size of the shards that progress is kept in may. */
  private static ByteString submission(JobSnapshot a, JobSnapshot b) {
    return ByteString.unsignedLexicographicalComparator().compare(a.getValue(), b.getValue()) >= 0
        ? a.getValue()
        : b.getValue();
  }

  private static End end(JobSnapshot a, JobSnapshot b) {
    if (!a.hasEnd()) {
      return b.getEnd();
    }
    return b.hasEnd() ? end(a.getEnd(), b.getEnd()) : a.getEnd();
  }
}
