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
 * Has jobs go over to smaller shards once the store has lowered its limits and their values no
 * longer fit.
 */
final class ShardRefiner {
  /** Logs under the name of the writer, of which this class is a part. */
  private static final Logger LOG = LoggerFactory.getLogger(StateWriter.class);

  private final ShardLayout layout;
  private final DirtyShards dirtyShards;
  private final Clock clock;

  /** A value of so many bytes fits the store even once its limits are lowered. */
  private final int safeBytes;

  /** Seconds for which a shard that was rejected alone waits. */
  private final double postponeS;

  /** The store has rejected what would have fitted its former limits. */
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

  /** The store's limits are known to be lowered. */
  void limitsLowered() {
    limitsLowered = true;
  }

  /** Whether values may no longer fit. */
  boolean mayRefine() {
    return limitsLowered;
  }

  /** Whether a value of so many bytes no longer fits, and the job has smaller shards. */
  boolean isOversized(Job job, int bytes) {
    return limitsLowered && bytes > safeBytes && layout.shardOf(job, 0).size() > 1;
  }

  /** Has the job go over to smaller shards; false if there are none smaller. */
  boolean refine(Job job) {
    if (!dirtyShards.refine(job)) {
      return false;
    }
    String ref = job.spec.ref();
    LOG.info("job {}: progress now kept in shards of {} tasks", ref, layout.shardSize(ref));
    return true;
  }

  /**
   * The store has rejected a transaction as malformed, and has not executed it; its shards are
   * pending again. Values that fitted its former limits are the likely cause: their jobs go over to
   * smaller shards. Else what was rejected together is tried one by one, and what is rejected alone
   * waits, so that it holds up nothing else.
   *
   * @param reason what the store answered
   */
  void handleRejection(Map<String, DirtyShard> rejected, String reason) {
    if (!refineLargeJobs(rejected)) {
      rejected.keySet().forEach(key -> isolate(key, rejected.size() == 1, reason));
    }
  }

  /** Whether any job went over to smaller shards. */
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
