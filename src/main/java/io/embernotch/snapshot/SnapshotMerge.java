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
 * Merges two snapshots of the same cluster, neither of which need be newer in every respect,
 * without losing progress from either:
 *
 * <ul>
 *   <li>The end of a job is final.
 *   <li>A task is done if it is done in either snapshot.
 *   <li>The number of a job's next attempt is the higher one.
 *   <li>Of each task the open attempt with the highest number is kept, since an attempt is only
 *       started once all earlier ones are confirmed to have ended. That an attempt is missing from
 *       one snapshot does not confirm its end.
 *   <li>A job that either snapshot has reduced to its end stays reduced, since all its attempts
 *       were confirmed to have ended.
 * </ul>
 *
 * <p>The merge is commutative, associative, idempotent and monotonic ({@code SnapshotMergeTest}).
 */
public final class SnapshotMerge {
  private static final Comparator<OpenAttemptSnapshot> BY_ATTEMPT_NUMBER =
      Comparator.comparingLong(OpenAttemptSnapshot::getNumber)
          .thenComparing(OpenAttemptSnapshot::getMachine)
          .thenComparing(OpenAttemptSnapshot::getZone)
          .thenComparing(OpenAttemptSnapshot::hasWish)
          .thenComparing(OpenAttemptSnapshot::getWish);

  private SnapshotMerge() {}

  /** Merges two snapshots. */
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
   * Adds what another snapshot contains to one that is newer for every job it contains: jobs that
   * were accepted without the newer snapshot's leader learning of them, and ends of jobs, which are
   * final.
   */
  public static ClusterSnapshot supplemented(ClusterSnapshot newest, ClusterSnapshot other) {
    Set<String> knownRefs = new HashSet<>();
    newest.getJobList().forEach(job -> knownRefs.add(job.getRef()));
    newest.getEndedList().forEach(job -> knownRefs.add(job.getRef()));
    ClusterSnapshot.Builder supplemented = newest.toBuilder();
    other.getJobList().stream()
        .filter(job -> !knownRefs.contains(job.getRef()))
        .forEach(supplemented::addJob);
    other.getEndedList().stream()
        .filter(job -> !knownRefs.contains(job.getRef()))
        .forEach(supplemented::addEnded);
    return withEnds(supplemented.build(), ends(other));
  }

  /** The ends of all jobs that have ended, with or without open attempts. */
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
   * Adds ends of jobs, which users may have been told, to a snapshot. A job that the snapshot
   * contains keeps its open attempts, since nothing confirms that they have ended.
   */
  public static ClusterSnapshot withEnds(ClusterSnapshot snapshot, List<EndedJobSnapshot> ends) {
    Map<String, EndedJobSnapshot> remainingEnds = new TreeMap<>();
    ends.forEach(end -> remainingEnds.put(end.getRef(), end));
    snapshot.getEndedList().forEach(end -> remainingEnds.remove(end.getRef()));
    ClusterSnapshot.Builder merged = snapshot.toBuilder();
    for (JobSnapshot.Builder job : merged.getJobBuilderList()) {
      EndedJobSnapshot end = remainingEnds.remove(job.getRef());
      if (end != null && !job.hasEnd()) {
        job.setEnd(end.getEnd()).setEndedMs(end.getAtMs());
      }
    }
    return merged.addAllEnded(remainingEnds.values()).build();
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
        .setEnd(chooseEnd(a.getEnd(), b.getEnd()))
        .setTasks(Math.max(a.getTasks(), b.getTasks()))
        .setDone(Math.max(a.getDone(), b.getDone()))
        .setAtMs(Math.max(a.getAtMs(), b.getAtMs()))
        .build();
  }

  /**
   * Chooses one of two ends of the same job. They are equal, since an end is decided once; if they
   * are not, the choice does not depend on the order of the arguments.
   */
  private static End chooseEnd(End a, End b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  private static JobSnapshot mergeJobs(JobSnapshot a, JobSnapshot b) {
    BitSet done = BitSet.valueOf(a.getDone().toByteArray());
    done.or(BitSet.valueOf(b.getDone().toByteArray()));
    Map<Integer, OpenAttemptSnapshot> open = new TreeMap<>();
    for (JobSnapshot job : List.of(a, b)) {
      job.getOpenList()
          .forEach(
              attempt ->
                  open.merge(attempt.getTask(), attempt, BinaryOperator.maxBy(BY_ATTEMPT_NUMBER)));
    }
    JobSnapshot.Builder merged =
        JobSnapshot.newBuilder()
            .setRef(a.getRef())
            .setValue(chooseSubmission(a, b))
            .setNextAttempt(Math.max(a.getNextAttempt(), b.getNextAttempt()))
            .setDone(ByteString.copyFrom(done.toByteArray()))
            .addAllOpen(open.values());
    if (a.hasEnd() || b.hasEnd()) {
      merged.setEnd(chooseEnd(a, b)).setEndedMs(Math.max(a.getEndedMs(), b.getEndedMs()));
    }
    return merged.build();
  }

  /**
   * Chooses one of two values of a job's submission key, whatever the order of the arguments. The
   * submission never changes; only the shard size beside it may.
   */
  private static ByteString chooseSubmission(JobSnapshot a, JobSnapshot b) {
    return ByteString.unsignedLexicographicalComparator().compare(a.getValue(), b.getValue()) >= 0
        ? a.getValue()
        : b.getValue();
  }

  private static End chooseEnd(JobSnapshot a, JobSnapshot b) {
    if (!a.hasEnd()) {
      return b.getEnd();
    }
    return b.hasEnd() ? chooseEnd(a.getEnd(), b.getEnd()) : a.getEnd();
  }
}
