package io.embernotch.persistence;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.store.StoreClient;
import io.embernotch.store.WatchEvents;
import io.vertx.core.Future;

/**
 * The cluster's state as the store holds it. The prefixes are read one by one, in the order of the
 * components, so each may be of a later revision than the one before.
 *
 * @param jobs submissions
 * @param shards progress of jobs, in shards of the size fixed when the job was accepted
 * @param refinedShards progress of jobs that were switched to smaller shards
 * @param shared shared state entries, which do not belong to a job
 */
public record PersistedState(
    WatchEvents jobs, WatchEvents shards, WatchEvents refinedShards, WatchEvents shared) {

  /** Reads all prefixes, in the order of the components. Fails as the first failing read does. */
  public static Future<PersistedState> read(StoreClient store) {
    return store.list(JobProgressCodec.JOB_PREFIX).compose(jobs -> readShards(store, jobs));
  }

  private static Future<PersistedState> readShards(StoreClient store, WatchEvents jobs) {
    return store
        .list(JobProgressCodec.SHARD)
        .compose(
            shards ->
                store
                    .list(JobProgressCodec.REFINED_SHARD)
                    .compose(
                        refinedShards ->
                            store
                                .list(JobProgressCodec.SHARED_STATE_PREFIX)
                                .map(
                                    shared ->
                                        new PersistedState(jobs, shards, refinedShards, shared))));
  }
}
