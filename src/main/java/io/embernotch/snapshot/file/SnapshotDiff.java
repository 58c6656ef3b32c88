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

/** What two copies say differently of jobs, each job on a line. */
public final class SnapshotDiff {
  private SnapshotDiff() {}

  /** A job that has not ended. */
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

  /** A job of which only the end is left. */
  public static ObjectNode line(EndedJobSnapshot endedJob) {
    return Json.object()
        .put("ref", endedJob.getRef())
        .put("phase", endedJob.getEnd().name().toLowerCase())
        .put("done", endedJob.getDone())
        .put("open", 0);
  }

  /**
   * The jobs that are not the same in both, in the order of their ids, as they are in each; empty
   * if all are.
   */
  public static List<ObjectNode> of(ClusterSnapshot a, ClusterSnapshot b) {
    Map<String, Message> before = byRef(a);
    Map<String, Message> after = byRef(b);
    TreeSet<String> all = new TreeSet<>(before.keySet());
    all.addAll(after.keySet());
    List<ObjectNode> out = new ArrayList<>();
    for (String ref : all) {
      Message x = before.get(ref);
      Message y = after.get(ref);
      if (!Objects.equals(x, y)) {
        out.add(Json.object().put("ref", ref).put("before", text(x)).put("after", text(y)));
      }
    }
    return out;
  }

  private static Map<String, Message> byRef(ClusterSnapshot snapshot) {
    Map<String, Message> out = new HashMap<>();
    snapshot.getJobList().forEach(job -> out.put(job.getRef(), job));
    snapshot.getEndedList().forEach(endedJob -> out.put(endedJob.getRef(), endedJob));
    return out;
  }

  private static String text(Message message) {
    if (message == null) {
      return "absent";
    }
    ObjectNode line =
        message instanceof JobSnapshot job ? line(job) : line((EndedJobSnapshot) message);
    return line.path("phase").asText()
        + ", "
        + line.path("done").asText()
        + " done, "
        + line.path("open").asText()
        + " open, next "
        + line.path("next").asText("-");
  }
}
