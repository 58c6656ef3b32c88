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
 * tasks instead. A part tells everything of its tasks, so it overrides what any larger shard says
 * of them, and larger shards are never written again.
 */
public final class JobProgressCodec {
  public static final String JOB = "job/";
  public static final String SHARD = "run/";

  public static final String REFINED_SHARD = "part/";

  /** Facts that leaders hand on, beside jobs. */
  public static final String SHARED = "shared/";

  /** The key that whoever is leader holds. */
  public static final String LEADER = "steward";

  /**
   * An open attempt takes so many bytes besides its zone's name, and its done mark less than two
   * more.
   */
  private static final int BYTES_PER_TASK = 46;

  /** What a shard takes besides its tasks. */
  private static final int BYTES_PER_SHARD = 192;

  /** Marks a submission that is written once more after a loss of data. */
  public static final String REWRITTEN_AFTER_LOSS = "again";

  private JobProgressCodec() {}

  /**
   * Tasks in a shard when values may have {@code valueKb} KiB. With longer names of machines than
   * usual, or with restarts under way, a shard may still not fit: then parts take its place.
   */
  public static int shardSize(double valueKb, List<String> zones) {
    int zone = zones.stream().mapToInt(String::length).max().orElse(0);
    return Math.max(1, (int) ((valueKb * 1024 - BYTES_PER_SHARD) / (BYTES_PER_TASK + zone)));
  }

  public static ObjectNode writeJob(Job job, int shard) {
    ObjectNode json = Json.object();
    json.put("at", job.submittedMs);
    json.put("piece", shard);
    json.set("job", JobCodec.write(job.spec));
    return json;
  }

  public static Job readJob(JsonNode json) {
    Job job = new Job(JobCodec.read(Json.need(json, "job")), Json.whole(json, "at"));
    job.restoredAfterLoss = Json.flagOr(json, REWRITTEN_AFTER_LOSS, false);
    return job;
  }

  public static int readShardSize(JsonNode json) {
    return (int) Math.max(1, Json.whole(json, "piece"));
  }

  public static String shardKey(String ref, int shard) {
    return shard == 0 ? SHARD + ref : SHARD + ref + "/" + shard;
  }

  /** Which shard a {@code run/} key holds. */
  public static int shardOf(String key) {
    int slash = key.indexOf('/', SHARD.length());
    return slash < 0 ? 0 : Integer.parseInt(key.substring(slash + 1));
  }

  /** The key of the K-th part of {@code size} tasks. */
  public static String refinedShardKey(String ref, int size, int part) {
    return REFINED_SHARD + ref + "/" + size + "/" + part;
  }

  public static ObjectNode writeShard(Job job, int shardSize, int shard) {
    ObjectNode json = Json.object();
    if (shard == 0) {
      json.put("next", job.nextAttempt);
      if (job.finalPhase != null) {
        json.put("end", JobCodec.phase(job.finalPhase));
        // The version before job chains ignores this, and may write the value back without it.
        json.put("at", job.endedMs);
      }
      if (job.release != null) {
        json.put("rel", job.release);
      }
    }
    int from = shard * shardSize;
    int to = Math.min(job.spec.tasks(), from + shardSize);
    if (job.finalPhase != JobPhase.DONE) {
      BitSet part = job.done.get(from, to);
      if (!part.isEmpty()) {
        json.put("done", Base64.getEncoder().encodeToString(part.toByteArray()));
      }
    }
    ArrayNode open = null;
    for (Attempt attempt : job.openAttempts.values()) {
      if (attempt.task >= from && attempt.task < to) {
        if (open == null) {
          open = json.putArray("open");
        }
        ArrayNode entry =
            open.addArray()
                .add(attempt.task)
                .add(attempt.number)
                .add(attempt.machine)
                .add(attempt.zone);
        String wish = job.preferredMachines.get(attempt.task);
        if (wish != null) {
          entry.add(wish);
        }
      }
    }
    return json;
  }

  /** Reads the end of a job from its first shard; null while it has none. */
  public static JobPhase readEnd(JsonNode json) {
    JsonNode end = Json.opt(json, "end");
    if (end == null) {
      return null;
    }
    return switch (end.asText()) {
      case "done" -> JobPhase.DONE;
      case "cancelled" -> JobPhase.CANCELLED;
      default -> throw new MalformedInputException("end: unknown: " + end.asText());
    };
  }

  /** Has a part take the place of what larger shards said of its tasks. */
  public static void readRefinedShard(JsonNode json, Job job, int size, int part) {
    int from = part * size;
    int to = Math.min(job.spec.tasks(), from + size);
    job.done.clear(from, Math.max(from, to));
    job.openAttempts.keySet().removeIf(task -> task >= from && task < to);
    job.preferredMachines.keySet().removeIf(task -> task >= from && task < to);
    readShard(json, job, size, part);
  }

  /** Adds what a shard says to {@code job}. */
  public static void readShard(JsonNode json, Job job, int shardSize, int shard) {
    if (shard == 0) {
      job.nextAttempt = Json.whole(json, "next");
      job.finalPhase = readEnd(json);
      job.endPersisted = job.finalPhase != null;
      job.endedMs = Json.opt(json, "at") == null ? job.submittedMs : Json.whole(json, "at");
      job.release = json.path("rel").asText(null);
    }
    JsonNode done = Json.opt(json, "done");
    if (done != null) {
      BitSet part = BitSet.valueOf(Base64.getDecoder().decode(done.asText()));
      part.stream().forEach(i -> job.done.set(shard * shardSize + i));
    }
    JsonNode open = Json.opt(json, "open");
    if (open != null) {
      for (JsonNode a : open) {
        Attempt attempt =
            new Attempt(
                job, a.get(0).asInt(), a.get(1).asLong(), a.get(2).asText(), a.get(3).asText(), 0);
        attempt.launchState = Attempt.LaunchState.UNCONFIRMED;
        job.openAttempts.put(attempt.task, attempt);
        if (a.size() > 4) {
          job.preferredMachines.put(attempt.task, a.get(4).asText());
        }
      }
    }
    if (job.finalPhase == JobPhase.DONE) {
      job.done.set(0, job.spec.tasks());
    }
  }
}
