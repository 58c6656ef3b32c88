package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.JobPhase;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Priority;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/** Jobs as users write them, and the answers users get. */
public final class JobCodec {
  private static final int MOST_NAMED = 3;
  public static final int MAX_TASKS = 100_000;
  private static final Pattern REF = Pattern.compile("j-[0-9A-Za-z_-]{1,64}");

  private JobCodec() {}

  public static boolean isRef(String text) {
    return REF.matcher(text).matches();
  }

  public static JobSpec read(JsonNode json) {
    String ref = Json.text(json, "ref");
    if (!isRef(ref)) {
      throw new MalformedInputException("ref: not a job id");
    }
    long tasks = Json.whole(json, "shards");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new MalformedInputException("shards: must be between 1 and " + MAX_TASKS);
    }
    JsonNode due = Json.opt(json, "due_s");
    return new JobSpec(
        ref,
        name(json, "jobclass"),
        name(json, "owner"),
        shape(Json.text(json, "shape")),
        priority(Json.text(json, "rank")),
        (int) tasks,
        Json.amount(json, "cores"),
        Json.amount(json, "cards"),
        Json.amount(json, "mem_gb"),
        name(json, "bundle"),
        Json.amount(json, "size_gb"),
        types(Json.opt(json, "flavors")),
        Json.opt(json, "room") == null ? null : name(json, "room"),
        Json.flag(json, "one_zone"),
        Json.flag(json, "scatter"),
        Json.flag(json, "loaner"),
        Json.amount(json, "expect_s"),
        Json.amount(json, "snapshot_s"),
        Json.amount(json, "flush_s"),
        due == null ? null : Json.amount(json, "due_s"),
        dependencies(Json.opt(json, "awaits")));
  }

  public static ObjectNode write(JobSpec spec) {
    ObjectNode json = Json.object();
    json.put("ref", spec.ref());
    json.put("jobclass", spec.jobClass());
    json.put("owner", spec.team());
    json.put(
        "shape",
        switch (spec.shape()) {
          case ARRAY -> "array";
          case GANG -> "group";
          case SERVICE -> "standing";
        });
    json.put(
        "rank",
        switch (spec.priority()) {
          case LOW -> "idle";
          case NORMAL -> "standard";
          case HIGH -> "high";
          case PRODUCTION -> "production";
        });
    json.put("shards", spec.tasks());
    json.put("cores", spec.cpus());
    json.put("cards", spec.gpus());
    json.put("mem_gb", spec.memGb());
    json.put("bundle", spec.image());
    json.put("size_gb", spec.imageGb());
    if (spec.types() != null) {
      ArrayNode types = json.putArray("flavors");
      spec.types().forEach(types::add);
    }
    if (spec.zone() != null) {
      json.put("room", spec.zone());
    }
    json.put("one_zone", spec.oneZone());
    json.put("scatter", spec.spread());
    json.put("loaner", spec.spot());
    json.put("expect_s", spec.expectS());
    json.put("snapshot_s", spec.checkpointS());
    json.put("flush_s", spec.saveS());
    if (spec.dueS() != null) {
      json.put("due_s", spec.dueS());
    }
    if (!spec.dependencies().isEmpty()) {
      ArrayNode dependencies = json.putArray("awaits");
      spec.dependencies().forEach(dependencies::add);
    }
    return json;
  }

  public static String phase(JobPhase p) {
    return switch (p) {
      case QUEUED -> "queued";
      case RUNNING -> "running";
      case DONE -> "done";
      case CANCELLED -> "cancelled";
    };
  }

  /** What a poll is answered. */
  public static byte[] status(String ref, JobPhase phase, int done, int running) {
    return ("{\"ref\":\""
            + ref
            + "\",\"phase\":\""
            + phase(phase)
            + "\",\"done\":"
            + done
            + ",\"running\":"
            + running
            + "}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /** The same with more that is to be told. */
  public static byte[] status(
      String ref, JobPhase phase, int done, int running, Consumer<ObjectNode> more) {
    ObjectNode json =
        Json.object()
            .put("ref", ref)
            .put("phase", phase(phase))
            .put("done", done)
            .put("running", running);
    more.accept(json);
    return Json.bytes(json);
  }

  /**
   * The same for a job that fails wherever it goes, and on which machines it has; the last few are
   * named.
   */
  public static byte[] failing(
      String ref, JobPhase phase, int done, int running, Collection<String> machines) {
    ObjectNode json =
        Json.object()
            .put("ref", ref)
            .put("phase", phase(phase))
            .put("done", done)
            .put("running", running);
    ArrayNode on = json.putObject("failing").put("machines", machines.size()).putArray("last");
    machines.stream().skip(Math.max(0, machines.size() - MOST_NAMED)).forEach(on::add);
    return Json.bytes(json);
  }

  /** What a poll is answered for a job that waits for so many others. */
  public static byte[] waiting(String ref, int others) {
    return ("{\"ref\":\""
            + ref
            + "\",\"phase\":\"queued\",\"done\":0,\"running\":0,\"awaited\":"
            + others
            + "}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /** What a submission or an abort is answered. */
  public static byte[] brief(String ref, JobPhase phase) {
    return ("{\"ref\":\"" + ref + "\",\"phase\":\"" + phase(phase) + "\"}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private static String name(JsonNode json, String field) {
    String text = Json.text(json, field);
    if (text.isEmpty() || text.length() > 500) {
      throw new MalformedInputException(field + ": must have 1 to 500 characters");
    }
    return text;
  }

  private static List<String> types(JsonNode n) {
    if (n == null) {
      return null;
    }
    if (!n.isArray() || n.isEmpty()) {
      throw new MalformedInputException("flavors: must be null or an array of names");
    }
    List<String> out = new ArrayList<>();
    for (JsonNode t : n) {
      if (!t.isTextual()) {
        throw new MalformedInputException("flavors: must be null or an array of names");
      }
      out.add(t.textValue());
    }
    return List.copyOf(out);
  }

  /** Names of other jobs, each once; absent, null and empty mean none. */
  private static List<String> dependencies(JsonNode n) {
    if (n == null) {
      return List.of();
    }
    if (!n.isArray()) {
      throw new MalformedInputException("awaits: must be null or an array of job ids");
    }
    Set<String> out = new LinkedHashSet<>();
    for (JsonNode ref : n) {
      if (!ref.isTextual() || !isRef(ref.textValue())) {
        throw new MalformedInputException("awaits: must be null or an array of job ids");
      }
      out.add(ref.textValue());
    }
    return List.copyOf(out);
  }

  private static JobShape shape(String text) {
    return switch (text) {
      case "array" -> JobShape.ARRAY;
      case "group" -> JobShape.GANG;
      case "standing" -> JobShape.SERVICE;
      default -> throw new MalformedInputException("shape: must be array, group or standing");
    };
  }

  private static Priority priority(String text) {
    return switch (text) {
      case "idle" -> Priority.LOW;
      case "standard" -> Priority.NORMAL;
      case "high" -> Priority.HIGH;
      case "production" -> Priority.PRODUCTION;
      default ->
          throw new MalformedInputException("rank: must be production, high, standard or idle");
    };
  }
}
