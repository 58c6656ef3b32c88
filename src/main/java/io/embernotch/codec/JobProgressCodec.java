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
 * Encodes submissions and the progress of jobs as values of the store. {@code job/REF} holds the
 * submission of job REF; its progress is split into shards of consecutive tasks, so that no value
 * exceeds the store's limit. {@code run/REF} holds shard 0 and the end of the job, if it has ended;
 * {@code run/REF/K} holds shard K.
 *
 * <p>The size of these shards is fixed when the job is accepted. If a shard no longer fits because
 * the store has lowered its limit, refined shards replace it: {@code part/REF/SIZE/K} holds the
 * K-th shard of SIZE tasks. A refined shard contains the complete progress of its tasks, so it
 * overrides any larger shard that covers them; the larger shards are never written again.
 */
public final class JobProgressCodec {
  /** Prefix of the keys of submissions. */
  public static final String JOB_PREFIX = "job/";

  /** Prefix of the keys of progress shards. */
  public static final String SHARD = "run/";

  /** Prefix of the keys of refined shards. */
  public static final String REFINED_SHARD = "part/";

  /** Prefix of the keys of shared state entries: data besides jobs that each leader inherits. */
  public static final String SHARED_STATE_PREFIX = "shared/";

  /** Key of the leader lock, which the current leader holds. */
  public static final String LEADER = "steward";

  /** Whether the submission was restored after the store had lost data; absent means false. */
  public static final String REWRITTEN_AFTER_LOSS = "again";

  /** The submission, as {@link JobCodec} encodes it. */
  private static final String SPEC = "job";

  /** Number of tasks per progress shard of the job. */
  private static final String SHARD_SIZE = "piece";

  /** Time of the submission or, in a progress shard, of the job's end, in Unix milliseconds. */
  private static final String TIME_MS = "at";

  /** Number that the job's next attempt gets. */
  private static final String NEXT_ATTEMPT = "next";

  /** Final phase of the job; absent until it has ended. */
  private static final String FINAL_PHASE = "end";

  /** Release occurrence that the job belongs to, as RELEASE/DATE; absent for none. */
  private static final String RELEASE = "rel";

  /** Base64 of the bit set of done tasks; bit 0 is the first task of the shard. */
  private static final String DONE = "done";

  /** Open attempts, each an array of fields at the positions below. */
  private static final String OPEN = "open";

  /** Positions of the fields of an open attempt; the preferred machine of its task is optional. */
  private static final int TASK = 0;

  private static final int ATTEMPT_NUMBER = 1;
  private static final int MACHINE = 2;
  private static final int ZONE = 3;
  private static final int PREFERRED_MACHINE = 4;

  /**
   * Estimated bytes per task: an open attempt without the name of its zone, and less than two bytes
   * for the task's bit in the done set.
   */
  private static final int BYTES_PER_TASK = 46;

  /** Estimated bytes of a shard in addition to its tasks. */
  private static final int BYTES_PER_SHARD = 192;

  private static final int BYTES_PER_KIB = 1024;

  private JobProgressCodec() {}

  /**
   * Computes the number of tasks per shard so that a shard usually fits into one value, at least 1.
   * Unusually long machine names or restarts in progress can still make a shard too large; then
   * refined shards replace it.
   *
   * @param valueKb maximum size of a value in the store, in KiB
   * @param zones names of all zones; the longest determines the result
   */
  public static int shardSize(double valueKb, List<String> zones) {
    int zone = zones.stream().mapToInt(String::length).max().orElse(0);
    return Math.max(
        1, (int) ((valueKb * BYTES_PER_KIB - BYTES_PER_SHARD) / (BYTES_PER_TASK + zone)));
  }

  /**
   * Encodes a job as the value of its submission key.
   *
   * @param shardSize number of tasks per progress shard of this job
   */
  public static ObjectNode writeJob(Job job, int shardSize) {
    ObjectNode json = Json.object();
    json.put(TIME_MS, job.submittedMs);
    json.put(SHARD_SIZE, shardSize);
    json.set(SPEC, JobCodec.write(job.spec));
    return json;
  }

  /**
   * Reads a job without progress from the value of its submission key.
   *
   * @throws MalformedInputException if the value is malformed
   */
  public static Job readJob(JsonNode json) {
    Job job = new Job(JobCodec.read(Json.required(json, SPEC)), Json.whole(json, TIME_MS));
    job.restoredAfterLoss = Json.boolOr(json, REWRITTEN_AFTER_LOSS, false);
    return job;
  }

  /**
   * Reads the ids of the jobs that a job depends on from the value of its submission key. Other
   * fields of the value may be malformed.
   *
   * @throws MalformedInputException if the submission is missing or the dependencies are malformed
   */
  public static List<String> readDependencies(JsonNode json) {
    JsonNode spec = Json.required(json, SPEC);
    if (!spec.isObject()) {
      throw new MalformedInputException(SPEC + ": must be an object");
    }
    return JobCodec.readDependencies(spec);
  }

  /**
   * Reads the number of tasks per shard from the value of a submission key, at least 1.
   *
   * @throws MalformedInputException if the field is missing or malformed
   */
  public static int readShardSize(JsonNode json) {
    return (int) Math.max(1, Json.whole(json, SHARD_SIZE));
  }

  /** Returns the key of a progress shard. */
  public static String shardKey(String ref, int shard) {
    return shard == 0 ? SHARD + ref : SHARD + ref + "/" + shard;
  }

  /**
   * Returns the shard number in the key of a progress shard.
   *
   * @throws MalformedInputException if the job id is followed by something other than a number
   */
  public static int shardNumber(String key) {
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
   * Returns the key of a refined shard.
   *
   * @param size number of tasks per refined shard
   * @param shard index among the refined shards of this size, from 0
   */
  public static String refinedShardKey(String ref, int size, int shard) {
    return REFINED_SHARD + ref + "/" + size + "/" + shard;
  }

  /**
   * Encodes the progress of the tasks in a shard, refined or not.
   *
   * @param shardSize number of tasks per shard
   * @param shard index of the shard, from 0; shard 0 also contains the job's end
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
      json.put(FINAL_PHASE, JobEnumNames.phase(job.finalPhase));
      // The version before job chains ignores this field and may rewrite the value without it.
      json.put(TIME_MS, job.endedMs);
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
   * Reads the final phase of a job from its shard 0; null if the job has not ended.
   *
   * @throws MalformedInputException if the phase is unknown
   */
  public static JobPhase readEnd(JsonNode json) {
    JsonNode end = Json.optional(json, FINAL_PHASE);
    if (end == null) {
      return null;
    }
    return switch (end.asText()) {
      case JobEnumNames.DONE -> JobPhase.DONE;
      case JobEnumNames.CANCELLED -> JobPhase.CANCELLED;
      default -> throw new MalformedInputException(FINAL_PHASE + ": unknown: " + end.asText());
    };
  }

  /**
   * Returns whether the value of shard 0 determines if and how its job has ended. The other fields
   * of the value may be malformed.
   */
  public static boolean determinesEnd(JsonNode json) {
    try {
      return readEnd(json) != null || json.has(NEXT_ATTEMPT) || json.has(OPEN) || json.has(DONE);
    } catch (MalformedInputException e) {
      return false;
    }
  }

  /**
   * Applies a refined shard to a job. It replaces the progress that larger shards recorded for its
   * tasks.
   *
   * @param size number of tasks per refined shard
   * @param shard index among the refined shards of this size, from 0
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
   * Adds the progress in a shard to a job.
   *
   * @param shardSize number of tasks per shard
   * @param shard index of the shard, from 0; shard 0 also contains the job's end
   * @throws MalformedInputException if the value is malformed
   */
  public static void readShard(JsonNode json, Job job, int shardSize, int shard) {
    if (shard == 0) {
      // Read first, so that the job's end takes effect even if the other fields are malformed.
      job.finalPhase = readEnd(json);
      job.endPersisted = job.finalPhase != null;
      if (job.finalPhase == JobPhase.DONE) {
        job.done.set(0, job.spec.tasks());
      }
      job.endedMs =
          Json.optional(json, TIME_MS) == null ? job.submittedMs : Json.whole(json, TIME_MS);
      job.release = json.path(RELEASE).asText(null);
      job.nextAttempt = Json.whole(json, NEXT_ATTEMPT);
    }
    JsonNode done = Json.optional(json, DONE);
    if (done != null) {
      readBitSet(done).stream()
          .map(task -> Math.multiplyExact(shard, shardSize) + task)
          .filter(task -> isTaskOf(job, task))
          .forEach(job.done::set);
    }
    JsonNode open = Json.optional(json, OPEN);
    if (open != null) {
      readOpenAttempts(open, job);
    }
  }

  private static boolean isTaskOf(Job job, int task) {
    return task >= 0 && task < job.spec.tasks();
  }

  private static BitSet readBitSet(JsonNode base64) {
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
            entry.get(ATTEMPT_NUMBER).asLong(),
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
