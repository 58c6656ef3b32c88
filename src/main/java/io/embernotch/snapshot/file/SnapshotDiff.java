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
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/** Describes jobs of a snapshot, and the differences of two snapshots, as JSON: a line a job. */
public final class SnapshotDiff {
  private SnapshotDiff() {}

  /** The line of a job of which more than its end is left. */
  public static ObjectNode line(JobSnapshot job) {
    return Json.object()
        .put("ref", job.getRef())
        .put(
            "phase",
            job.hasEnd()
                ? job.getEnd().name().toLowerCase()
                : job.getOpenCount() > 0 ? "running" : "queued")
        .put("done", BitSet.valueOf(job.getDone().toByteArray()).cardinality())
        .put("open", job.getOpenCount())
        .put("next", job.getNextAttempt());
  }

  /** The line of a job of which only the end is left. */
  public static ObjectNode line(EndedJobSnapshot endedJob) {
    return Json.object()
        .put("ref", endedJob.getRef())
        .put("phase", endedJob.getEnd().name().toLowerCase())
        .put("done", endedJob.getDone())
        .put("open", 0);
  }

  /**
   * The lines of the jobs that differ, in the order of their ids, with a description of each side;
   * empty if none do.
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
                .put("ref", ref)
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
    ObjectNode line = job instanceof JobSnapshot open ? line(open) : line((EndedJobSnapshot) job);
    return line.path("phase").asText()
        + ", "
        + line.path("done").asText()
        + " done, "
        + line.path("open").asText()
        + " open, next "
        + line.path("next").asText("-");
  }
}
