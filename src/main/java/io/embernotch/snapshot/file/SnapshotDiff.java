package io.embernotch.snapshot.file;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.Message;
import io.embernotch.codec.Json;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * Describes jobs of a snapshot, or the differences of two snapshots, as one JSON object per job.
 */
public final class SnapshotDiff {
  private static final String REF = "ref";
  private static final String PHASE = "phase";
  private static final String DONE_TASKS = "done";
  private static final String OPEN_ATTEMPTS = "open";
  private static final String NEXT_ATTEMPT = "next";

  private SnapshotDiff() {}

  /** Describes a job that is not reduced to its end. */
  public static ObjectNode toJson(JobSnapshot job) {
    return Json.object()
        .put(REF, job.getRef())
        .put(
            PHASE,
            job.hasEnd()
                ? job.getEnd().name().toLowerCase(Locale.ROOT)
                : job.getOpenCount() > 0 ? "running" : "queued")
        .put(DONE_TASKS, BitSet.valueOf(job.getDone().toByteArray()).cardinality())
        .put(OPEN_ATTEMPTS, job.getOpenCount())
        .put(NEXT_ATTEMPT, job.getNextAttempt());
  }

  /** Describes a job that is reduced to its end. */
  public static ObjectNode toJson(EndedJobSnapshot endedJob) {
    return Json.object()
        .put(REF, endedJob.getRef())
        .put(PHASE, endedJob.getEnd().name().toLowerCase(Locale.ROOT))
        .put(DONE_TASKS, endedJob.getDone())
        .put(OPEN_ATTEMPTS, 0);
  }

  /**
   * Describes the jobs that differ between two snapshots, in the order of their ids, each with its
   * state before and after; empty if none differ.
   */
  public static List<ObjectNode> of(ClusterSnapshot before, ClusterSnapshot after) {
    Map<String, Message> jobsBefore = byRef(before);
    Map<String, Message> jobsAfter = byRef(after);
    TreeSet<String> refs = new TreeSet<>(jobsBefore.keySet());
    refs.addAll(jobsAfter.keySet());
    List<ObjectNode> lines = new ArrayList<>();
    for (String ref : refs) {
      Message jobBefore = jobsBefore.get(ref);
      Message jobAfter = jobsAfter.get(ref);
      if (!Objects.equals(jobBefore, jobAfter)) {
        lines.add(
            Json.object()
                .put(REF, ref)
                .put("before", describe(jobBefore))
                .put("after", describe(jobAfter)));
      }
    }
    return lines;
  }

  private static Map<String, Message> byRef(ClusterSnapshot snapshot) {
    Map<String, Message> jobs = new HashMap<>();
    snapshot.getJobList().forEach(job -> jobs.put(job.getRef(), job));
    snapshot.getEndedList().forEach(job -> jobs.put(job.getRef(), job));
    return jobs;
  }

  private static String describe(Message job) {
    if (job == null) {
      return "absent";
    }
    ObjectNode line =
        job instanceof JobSnapshot open ? toJson(open) : toJson((EndedJobSnapshot) job);
    return line.path(PHASE).asText()
        + ", "
        + line.path(DONE_TASKS).asText()
        + " done, "
        + line.path(OPEN_ATTEMPTS).asText()
        + " open, next "
        + line.path(NEXT_ATTEMPT).asText("-");
  }
}
