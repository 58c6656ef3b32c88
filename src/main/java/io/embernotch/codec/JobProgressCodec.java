package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;

/**
 * Progress of jobs as the store keeps it. {@code job/REF} is the submission and never changes.
 * {@code run/REF} holds the end of the job, if any, and the first tasks' progress; {@code
 * run/REF/K} holds that of the K-th further shard of tasks. Shards keep every value within the
 * store's limit, however many tasks a job has.
 *
 * <p>The size of these shards is fixed when the job is accepted. Should a shard not fit any more,
 * since the store has lowered its limits, {@code part/REF/SIZE/K} holds the K-th shard of SIZE
 * tasks instead, a refined shard. It states everything about its tasks, so it overrides what any
 * larger shard states about them, and larger shards are never written again.
 */
public final class JobProgressCodec {
  /** Prefix of the keys of submissions. */
  public static final String JOB = "job/";

  /** Prefix of the keys of progress shards. */
  public static final String SHARD = "run/";

  /** Prefix of the keys of refined shards. */
  public static final String REFINED_SHARD = "part/";

  /** Prefix of the keys of shared state entries, which leaders hand on beside jobs. */
  public static final String SHARED = "shared/";

  /** The key that the present leader holds. */
  public static final String LEADER = "steward";

  /** Marks a submission that was written again after the store had lost data. */
  public static final String REWRITTEN_AFTER_LOSS = "again";

  /** The submission within the value of a job. */
  private static final String SPEC = "job";

  /** Tasks in a shard of this job. */
  private static final String SHARD_SIZE = "piece";

  /** Time of the submission, or of the job's end, in milliseconds of the time of day. */
  private static final String AT_MS = "at";

  /** Number of the next attempt. */
  private static final String NEXT_ATTEMPT = "next";

  /** Final phase of the job. */
  private static final String END = "end";

  /** Occurrence of a release that the job is for. */
  private static final String RELEASE = "rel";

  /** Bit set of done tasks, counted from the shard's first, in base64. */
  private static final String DONE = "done";

  /** Open attempts, each an array of the fields below. */
  private static final String OPEN = "open";

  /** Positions in an open attempt; the preferred machine for the next attempt may be absent. */
  private static final int TASK = 0;

  private static final int NUMBER = 1;
  private static final int MACHINE = 2;
  private static final int ZONE = 3;
  private static final int PREFERRED_MACHINE = 4;

  /**
   * Bytes that an open attempt takes besides its zone's name; its done mark takes less than two
   * more.
   */
  private static final int BYTES_PER_TASK = 46;

  /** Bytes that a shard takes besides its tasks. */
  private static final int BYTES_PER_SHARD = 192;

  private static final int BYTES_PER_KIB = 1024;

  private JobProgressCodec() {}

  /**
   * Number of tasks in a shard. With longer names of machines than usual, or with restarts under
   * way, a shard of this size may still not fit: then refined shards take its place.
   *
   * @param valueKb what a value of the store may have, in KiB
   * @param zones names of all zones
   */
  public static int shardSize(double valueKb, List<String> zones) {
    int zone = zones.stream().mapToInt(String::length).max().orElse(0);
    return Math.max(
        1, (int) ((valueKb * BYTES_PER_KIB - BYTES_PER_SHARD) / (BYTES_PER_TASK + zone)));
  }

  /**
   * The value of a job's submission key.
   *
   * @param shardSize tasks in a shard of this job
   */
  public static ObjectNode writeJob(Job job, int shardSize) {
    ObjectNode json = Json.object();
    json.put(AT_MS, job.submittedMs);
    json.put(SHARD_SIZE, shardSize);
    json.set(SPEC, JobCodec.write(job.spec));
    return json;
  }

  /**
   * Reads the value of a submission key as a job without progress.
   *
   * @throws MalformedInputException if it is none
   */
  public static Job readJob(JsonNode json) {
    Job job = new Job(JobCodec.read(Json.need(json, SPEC)), Json.whole(json, AT_MS));
    job.restoredAfterLoss = Json.flagOr(json, REWRITTEN_AFTER_LOSS, false);
    return job;
  }

  /**
   * Reads the ids of the jobs that a job depends on from the value of a submission key, of which
   * all else may be malformed.
   *
   * @throws MalformedInputException if there is no submission, or they are malformed
   */
  public static List<String> readDependencies(JsonNode json) {
    JsonNode spec = Json.need(json, SPEC);
    if (!spec.isObject()) {
      throw new MalformedInputException(SPEC + ": must be an object");
    }
    return JobCodec.readDependencies(spec);
  }

  /**
   * Reads the number of tasks in a shard from the value of a submission key.
   *
   * @throws MalformedInputException if it is missing
   */
  public static int readShardSize(JsonNode json) {
    return (int) Math.max(1, Json.whole(json, SHARD_SIZE));
  }

  /** The key of a progress shard. */
  public static String shardKey(String ref, int shard) {
    return shard == 0 ? SHARD + ref : SHARD + ref + "/" + shard;
  }

  /**
   * The number of the shard that a progress key holds.
   *
   * @throws MalformedInputException if what follows the job's id is no number
   */
  public static int shardOf(String key) {
    int slash = key.indexOf('/', SHARD.length());
    if (slash < 0) {
      return 0;
    }
    try {
      return Integer.parseInt(key.substring(slash + 1));
    } catch (NumberFormatException e) {
      throw new MalformedInputException(e.getMessage());
    }
  }

  /**
   * The key of a refined shard.
   *
   * @param size tasks in each refined shard of this size
   * @param shard which of them, from 0
   */
  public static String refinedShardKey(String ref, int size, int shard) {
    return REFINED_SHARD + ref + "/" + size + "/" + shard;
  }

  /**
   * The value of a shard, refined or not.
   *
   * @param shardSize tasks in a shard
   * @param shard which of the job's shards, from 0; the first one holds the job's end too
   */
  public static ObjectNode writeShard(Job job, int shardSize, int shard) {
    ObjectNode json = Json.object();
    if (shard == 0) {
      writeEnd(job, json);
    }
    int from = shard * shardSize;
    int to = Math.min(job.spec.tasks(), from + shardSize);
    if (job.finalPhase != JobPhase.DONE) {
      BitSet done = job.done.get(from, to);
      if (!done.isEmpty()) {
        json.put(DONE, Base64.getEncoder().encodeToString(done.toByteArray()));
      }
    }
    writeOpenAttempts(job, from, to, json);
    return json;
  }

  private static void writeEnd(Job job, ObjectNode json) {
    json.put(NEXT_ATTEMPT, job.nextAttempt);
    if (job.finalPhase != null) {
      json.put(END, JobEnumNames.phase(job.finalPhase));
      // The version before job chains ignores this, and may write the value back without it.
      json.put(AT_MS, job.endedMs);
    }
    if (job.release != null) {
      json.put(RELEASE, job.release);
    }
  }

  private static void writeOpenAttempts(Job job, int from, int to, ObjectNode json) {
    ArrayNode open = null;
    for (Attempt attempt : job.openAttempts.values()) {
      if (attempt.task < from || attempt.task >= to) {
        continue;
      }
      if (open == null) {
        open = json.putArray(OPEN);
      }
      ArrayNode entry = open.addArray();
      entry.add(attempt.task).add(attempt.number).add(attempt.machine).add(attempt.zone);
      String preferredMachine = job.preferredMachines.get(attempt.task);
      if (preferredMachine != null) {
        entry.add(preferredMachine);
      }
    }
  }

  /**
   * Reads the end of a job from its first shard; null while it has none.
   *
   * @throws MalformedInputException if it is unknown
   */
  public static JobPhase readEnd(JsonNode json) {
    JsonNode end = Json.opt(json, END);
    if (end == null) {
      return null;
    }
    return switch (end.asText()) {
      case JobEnumNames.DONE -> JobPhase.DONE;
      case JobEnumNames.CANCELLED -> JobPhase.CANCELLED;
      default -> throw new MalformedInputException(END + ": unknown: " + end.asText());
    };
  }

  /**
   * Whether the value of a first shard tells if and how its job has ended, whatever else of it is
   * malformed.
   */
  public static boolean tellsEnd(JsonNode json) {
    try {
      return readEnd(json) != null || json.has(NEXT_ATTEMPT) || json.has(OPEN) || json.has(DONE);
    } catch (MalformedInputException e) {
      return false;
    }
  }

  /**
   * Replaces what larger shards stated about the tasks of a refined shard by what that one states.
   *
   * @param size tasks in each refined shard of this size
   * @param shard which of them, from 0
   * @throws MalformedInputException if the value is malformed
   */
  public static void readRefinedShard(JsonNode json, Job job, int size, int shard) {
    int from = shard * size;
    int to = Math.min(job.spec.tasks(), from + size);
    job.done.clear(from, Math.max(from, to));
    job.openAttempts.keySet().removeIf(task -> task >= from && task < to);
    job.preferredMachines.keySet().removeIf(task -> task >= from && task < to);
    readShard(json, job, size, shard);
  }

  /**
   * Adds what a shard states to a job.
   *
   * @param shardSize tasks in a shard
   * @param shard which of the job's shards, from 0; the first one holds the job's end too
   * @throws MalformedInputException if the value is malformed
   */
  public static void readShard(JsonNode json, Job job, int shardSize, int shard) {
    if (shard == 0) {
      // First: an end counts even if the rest is malformed.
      job.finalPhase = readEnd(json);
      job.endPersisted = job.finalPhase != null;
      if (job.finalPhase == JobPhase.DONE) {
        job.done.set(0, job.spec.tasks());
      }
      job.endedMs = Json.opt(json, AT_MS) == null ? job.submittedMs : Json.whole(json, AT_MS);
      job.release = json.path(RELEASE).asText(null);
      job.nextAttempt = Json.whole(json, NEXT_ATTEMPT);
    }
    JsonNode done = Json.opt(json, DONE);
    if (done != null) {
      readBits(done).stream()
          .map(task -> Math.multiplyExact(shard, shardSize) + task)
          .filter(task -> isTaskOf(job, task))
          .forEach(job.done::set);
    }
    JsonNode open = Json.opt(json, OPEN);
    if (open != null) {
      readOpenAttempts(open, job);
    }
  }

  private static boolean isTaskOf(Job job, int task) {
    return task >= 0 && task < job.spec.tasks();
  }

  private static BitSet readBits(JsonNode base64) {
    try {
      return BitSet.valueOf(Base64.getDecoder().decode(base64.asText()));
    } catch (IllegalArgumentException e) {
      throw new MalformedInputException(e.getMessage());
    }
  }

  private static void readOpenAttempts(JsonNode open, Job job) {
    if (!open.isArray()) {
      throw new MalformedInputException(OPEN + ": must be an array");
    }
    open.forEach(entry -> readOpenAttempt(entry, job));
  }

  private static void readOpenAttempt(JsonNode entry, Job job) {
    if (entry.size() < PREFERRED_MACHINE || !isTaskOf(job, entry.get(TASK).asInt(-1))) {
      throw new MalformedInputException(OPEN + ": no attempt of a task: " + entry);
    }
    Attempt attempt =
        new Attempt(
            job,
            entry.get(TASK).asInt(),
            entry.get(NUMBER).asLong(),
            entry.get(MACHINE).asText(),
            entry.get(ZONE).asText(),
            0);
    attempt.launchState = Attempt.LaunchState.UNCONFIRMED;
    job.openAttempts.put(attempt.task, attempt);
    if (entry.size() > PREFERRED_MACHINE) {
      job.preferredMachines.put(attempt.task, entry.get(PREFERRED_MACHINE).asText());
    }
  }
}
