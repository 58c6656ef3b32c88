package io.embernotch.persistence;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.store.StoreClient;
import io.embernotch.store.WatchEvents;
import io.vertx.core.Future;

/**
 * All that the store holds of the cluster's state. The prefixes are read one after the other, so
 * later ones may be of a later revision.
 *
 * @param jobs submissions
 * @param shards progress of jobs, in shards of their first size
 * @param refinedShards progress of jobs that have gone over to smaller shards
 * @param shared state that is shared beside jobs
 */
public record PersistedState(
    WatchEvents jobs, WatchEvents shards, WatchEvents refinedShards, WatchEvents shared) {

  /** Reads everything, in the order of the components. Fails as the first read that fails does. */
  public static Future<PersistedState> read(StoreClient store) {
    return store.list(JobProgressCodec.JOB).compose(jobs -> readShards(store, jobs));
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
                                .list(JobProgressCodec.SHARED)
                                .map(
                                    shared ->
                                        new PersistedState(jobs, shards, refinedShards, shared))));
  }
}
