package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.JobPhase;
import io.embernotch.model.JobSpec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/** Reads and writes job submissions, and encodes the responses to job requests. */
public final class JobCodec {
  /** Maximum number of tasks in a job. */
  public static final int MAX_TASKS = 100_000;

  /** Job class, by which objectives and reservations select jobs. */
  private static final String JOB_CLASS = "jobclass";

  /** Team that owns a job. */
  private static final String TEAM = "owner";

  /** Shape of a job: array, gang or service. */
  private static final String SHAPE = "shape";

  /** Priority of a job. */
  private static final String PRIORITY = "rank";

  /** Name of the image that tasks run. */
  private static final String IMAGE = "bundle";

  /** Size of the image in GB. */
  private static final String IMAGE_GB = "size_gb";

  /** Whether all tasks must be placed in one zone. */
  private static final String ONE_ZONE = "one_zone";

  /** Whether each zone may hold at most half of the tasks. */
  private static final String SPREAD = "scatter";

  /** Expected run time of a task in seconds. */
  private static final String EXPECTED_S = "expect_s";

  /** Seconds of progress between two checkpoints of a task; 0 if it takes none. */
  private static final String CHECKPOINT_S = "snapshot_s";

  /** Seconds that a stopped task needs to save its progress. */
  private static final String SAVE_S = "flush_s";

  /** Due time of a job, in seconds after its submission. */
  private static final String DUE_S = "due_s";

  /** Ids of the jobs that a job depends on. */
  private static final String DEPENDENCIES = "awaits";

  /** In a response: number of done tasks. */
  private static final String DONE_TASKS = "done";

  /** In a response: number of running tasks. */
  private static final String RUNNING_TASKS = "running";

  /** In a response: number of unmet dependencies. */
  private static final String UNMET_DEPENDENCIES = "awaited";

  /** In a response: number and last few names of the machines on which the job failed. */
  private static final String FAILING = "failing";

  private static final String FAILING_MACHINES = "machines";
  private static final String LAST_FAILING_MACHINES = "last";

  /** Maximum number of machines that the response for a failing job names. */
  private static final int MAX_NAMED_MACHINES = 3;

  /** Text before the phase in a response; every response of this class contains it. */
  private static final String PHASE_PREFIX = "\"" + WireFields.PHASE + "\":\"";

  private static final int MAX_NAME_LENGTH = 500;
  private static final Pattern JOB_ID_PATTERN = Pattern.compile("j-[0-9A-Za-z_-]{1,64}");

  private JobCodec() {}

  /** Returns whether a text is a well-formed job id. */
  public static boolean isRef(String text) {
    return JOB_ID_PATTERN.matcher(text).matches();
  }

  /**
   * Reads a submission.
   *
   * @throws MalformedInputException if a field is missing, has the wrong type or is out of range
   */
  public static JobSpec read(JsonNode json) {
    String ref = Json.text(json, WireFields.REF);
    if (!isRef(ref)) {
      throw new MalformedInputException(WireFields.REF + ": not a job id");
    }
    long tasks = Json.whole(json, WireFields.TASKS);
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new MalformedInputException(WireFields.TASKS + ": must be between 1 and " + MAX_TASKS);
    }
    return new JobSpec(
        ref,
        name(json, JOB_CLASS),
        name(json, TEAM),
        JobEnumNames.shape(Json.text(json, SHAPE)),
        JobEnumNames.priority(Json.text(json, PRIORITY)),
        (int) tasks,
        Json.nonNegativeDouble(json, WireFields.CPUS),
        Json.nonNegativeDouble(json, WireFields.GPUS),
        Json.nonNegativeDouble(json, WireFields.MEM_GB),
        name(json, IMAGE),
        Json.nonNegativeDouble(json, IMAGE_GB),
        types(Json.optional(json, WireFields.TYPES)),
        Json.optional(json, WireFields.ZONE) == null ? null : name(json, WireFields.ZONE),
        Json.bool(json, ONE_ZONE),
        Json.bool(json, SPREAD),
        Json.bool(json, WireFields.SPOT),
        Json.nonNegativeDouble(json, EXPECTED_S),
        Json.nonNegativeDouble(json, CHECKPOINT_S),
        Json.nonNegativeDouble(json, SAVE_S),
        Json.optional(json, DUE_S) == null ? null : Json.nonNegativeDouble(json, DUE_S),
        readDependencies(json));
  }

  /** Encodes a submission for {@link #read}; optional fields without a value are omitted. */
  public static ObjectNode write(JobSpec spec) {
    ObjectNode json = Json.object();
    json.put(WireFields.REF, spec.ref());
    json.put(JOB_CLASS, spec.jobClass());
    json.put(TEAM, spec.team());
    json.put(SHAPE, JobEnumNames.shape(spec.shape()));
    json.put(PRIORITY, JobEnumNames.priority(spec.priority()));
    json.put(WireFields.TASKS, spec.tasks());
    json.put(WireFields.CPUS, spec.cpus());
    json.put(WireFields.GPUS, spec.gpus());
    json.put(WireFields.MEM_GB, spec.memGb());
    json.put(IMAGE, spec.image());
    json.put(IMAGE_GB, spec.imageGb());
    if (spec.types() != null) {
      ArrayNode types = json.putArray(WireFields.TYPES);
      spec.types().forEach(types::add);
    }
    if (spec.zone() != null) {
      json.put(WireFields.ZONE, spec.zone());
    }
    json.put(ONE_ZONE, spec.oneZone());
    json.put(SPREAD, spec.spread());
    json.put(WireFields.SPOT, spec.spot());
    json.put(EXPECTED_S, spec.expectS());
    json.put(CHECKPOINT_S, spec.checkpointS());
    json.put(SAVE_S, spec.saveS());
    if (spec.dueS() != null) {
      json.put(DUE_S, spec.dueS());
    }
    if (!spec.dependencies().isEmpty()) {
      ArrayNode dependencies = json.putArray(DEPENDENCIES);
      spec.dependencies().forEach(dependencies::add);
    }
    return json;
  }

  /**
   * Encodes the response to a poll. The JSON is concatenated without a tree; job ids need no
   * escaping, see {@link #isRef}.
   *
   * @param done number of done tasks
   * @param running number of running tasks
   */
  public static byte[] statusResponse(String ref, JobPhase phase, int done, int running) {
    return utf8(
        responseStart(ref, phase) + field(DONE_TASKS, done) + field(RUNNING_TASKS, running) + "}");
  }

  /**
   * Encodes the response to a poll with additional fields.
   *
   * @param additionalFields adds the fields to the response
   */
  public static byte[] statusResponse(
      String ref, JobPhase phase, int done, int running, Consumer<ObjectNode> additionalFields) {
    ObjectNode json =
        Json.object()
            .put(WireFields.REF, ref)
            .put(WireFields.PHASE, JobEnumNames.phase(phase))
            .put(DONE_TASKS, done)
            .put(RUNNING_TASKS, running);
    additionalFields.accept(json);
    return Json.bytes(json);
  }

  /**
   * Encodes the response to a poll for a job that fails on every machine.
   *
   * @param machines names of the machines on which it failed, most recent last; the response
   *     contains their number and the last few names
   */
  public static byte[] failingResponse(
      String ref, JobPhase phase, int done, int running, Collection<String> machines) {
    return statusResponse(
        ref,
        phase,
        done,
        running,
        json -> {
          ArrayNode last =
              json.putObject(FAILING)
                  .put(FAILING_MACHINES, machines.size())
                  .putArray(LAST_FAILING_MACHINES);
          machines.stream()
              .skip(Math.max(0, machines.size() - MAX_NAMED_MACHINES))
              .forEach(last::add);
        });
  }

  /**
   * Encodes the response to a poll for a job that waits for its dependencies.
   *
   * @param unmetDependencies number of unmet dependencies
   */
  public static byte[] waitingResponse(String ref, int unmetDependencies) {
    return utf8(
        responseStart(ref, JobPhase.QUEUED)
            + field(DONE_TASKS, 0)
            + field(RUNNING_TASKS, 0)
            + field(UNMET_DEPENDENCIES, unmetDependencies)
            + "}");
  }

  /** Returns the job id in a submission without validating it; empty if the field is absent. */
  public static String refOf(JsonNode submission) {
    return submission.path(WireFields.REF).asText();
  }

  /**
   * Returns the phase in a response; empty if it contains none. Searches the text without building
   * a JSON tree, see {@link #statusResponse}.
   */
  public static Optional<JobPhase> phaseOf(byte[] answer) {
    String text = new String(answer, StandardCharsets.UTF_8);
    int from = text.indexOf(PHASE_PREFIX) + PHASE_PREFIX.length();
    int to = text.indexOf('"', from);
    return from < PHASE_PREFIX.length() || to < 0
        ? Optional.empty()
        : JobEnumNames.phase(text.substring(from, to));
  }

  /** Encodes the response to a submission or a cancellation. */
  public static byte[] phaseResponse(String ref, JobPhase phase) {
    return utf8(responseStart(ref, phase) + "}");
  }

  private static String responseStart(String ref, JobPhase phase) {
    return "{\""
        + WireFields.REF
        + "\":\""
        + ref
        + "\",\""
        + WireFields.PHASE
        + "\":\""
        + JobEnumNames.phase(phase)
        + "\"";
  }

  private static String field(String name, int value) {
    return ",\"" + name + "\":" + value;
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String name(JsonNode json, String field) {
    String text = Json.text(json, field);
    if (text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
      throw new MalformedInputException(
          field + ": must have 1 to " + MAX_NAME_LENGTH + " characters");
    }
    return text;
  }

  private static List<String> types(JsonNode types) {
    if (types == null) {
      return null;
    }
    if (!types.isArray() || types.isEmpty()) {
      throw malformedTypes();
    }
    List<String> names = new ArrayList<>();
    for (JsonNode name : types) {
      if (!name.isTextual()) {
        throw malformedTypes();
      }
      names.add(name.textValue());
    }
    return List.copyOf(names);
  }

  private static MalformedInputException malformedTypes() {
    return new MalformedInputException(WireFields.TYPES + ": must be null or an array of names");
  }

  /**
   * Reads the ids of the jobs that a submission depends on, without duplicates; empty if the field
   * is absent or null.
   *
   * @throws MalformedInputException if the field is not an array of job ids
   */
  static List<String> readDependencies(JsonNode json) {
    JsonNode dependencies = Json.optional(json, DEPENDENCIES);
    if (dependencies == null) {
      return List.of();
    }
    if (!dependencies.isArray()) {
      throw malformedDependencies();
    }
    Set<String> refs = new LinkedHashSet<>();
    for (JsonNode ref : dependencies) {
      if (!ref.isTextual() || !isRef(ref.textValue())) {
        throw malformedDependencies();
      }
      refs.add(ref.textValue());
    }
    return List.copyOf(refs);
  }

  private static MalformedInputException malformedDependencies() {
    return new MalformedInputException(DEPENDENCIES + ": must be null or an array of job ids");
  }
}
