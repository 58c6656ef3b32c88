package io.embernotch.persistence;

import io.embernotch.actor.Clock;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Switches jobs to smaller shards once the store has lowered its limits and their values no longer
 * fit.
 */
final class ShardRefiner {
  /** Logs under the name of {@link StateWriter}, of which this class is a part. */
  private static final Logger LOG = LoggerFactory.getLogger(StateWriter.class);

  private final ShardLayout layout;
  private final DirtyShards dirtyShards;
  private final Clock clock;

  /** Largest value in bytes that fits the store's lowered limits. */
  private final int safeBytes;

  /** Delay in seconds of a shard that the store rejected in a transaction of its own. */
  private final double postponeS;

  /** Whether the store is known to have lowered its limits. */
  private boolean limitsLowered;

  private boolean rejectionLogged;

  ShardRefiner(
      ShardLayout layout, DirtyShards dirtyShards, Clock clock, int safeBytes, double postponeS) {
    this.layout = layout;
    this.dirtyShards = dirtyShards;
    this.clock = clock;
    this.safeBytes = safeBytes;
    this.postponeS = postponeS;
  }

  /** Records that the store has lowered its limits. */
  void recordLimitsLowered() {
    limitsLowered = true;
  }

  /** Whether values may be too large because the store has lowered its limits. */
  boolean mayRefine() {
    return limitsLowered;
  }

  /** Whether a value of {@code bytes} no longer fits and the job can be split further. */
  boolean isOversized(Job job, int bytes) {
    return limitsLowered && bytes > safeBytes && layout.shardOf(job, 0).size() > 1;
  }

  /** Switches the job to smaller shards; returns false if there is no smaller size. */
  boolean refine(Job job) {
    if (!dirtyShards.refine(job)) {
      return false;
    }
    String ref = job.spec.ref();
    LOG.info("job {}: progress now kept in shards of {} tasks", ref, layout.shardSize(ref));
    return true;
  }

  /**
   * Handles a transaction that the store rejected as malformed and did not execute; its shards are
   * pending again. The likely cause is a value that fits only the store's former limits: jobs with
   * such values are switched to smaller shards. If there are none, each shard is retried in a
   * transaction of its own, and a shard that is rejected in its own transaction is delayed, so that
   * it does not block the others.
   *
   * @param reason the text of the store's answer
   */
  void handleRejection(Map<String, DirtyShard> rejected, String reason) {
    if (!refineLargeJobs(rejected)) {
      rejected.keySet().forEach(key -> isolate(key, rejected.size() == 1, reason));
    }
  }

  /** Switches jobs with large values to smaller shards; returns whether it switched any. */
  private boolean refineLargeJobs(Map<String, DirtyShard> rejected) {
    Set<Job> large = new LinkedHashSet<>();
    for (DirtyShard dirtyShard : rejected.values()) {
      if (Json.bytes(dirtyShard.shard().value()).length > safeBytes) {
        large.add(dirtyShard.shard().job());
      }
    }
    if (!large.isEmpty() && !limitsLowered) {
      limitsLowered = true;
      LOG.info("the store has lowered its limits: values are limited to {} bytes", safeBytes);
    }
    boolean refined = false;
    for (Job job : large) {
      refined |= refine(job);
    }
    return refined;
  }

  private void isolate(String key, boolean rejectedAlone, String reason) {
    DirtyShard dirtyShard = dirtyShards.pending(key);
    if (!rejectedAlone) {
      dirtyShard.markSuspect();
    } else if (!refine(dirtyShard.shard().job())) {
      dirtyShard.postpone(clock.now() + postponeS);
      if (!rejectionLogged) {
        rejectionLogged = true;
        LOG.error("the store rejects {}, retrying: {}", key, reason);
      }
    }
  }
}
