package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.persistence.PersistedState;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads all entries of jobs and of shared state from the store, and retries until that succeeds.
 * Owned by the leader's event loop.
 */
public final class StoreLoader {
  private static final Logger LOG = LoggerFactory.getLogger(StoreLoader.class);

  /** Retries of a failed load per heartbeat interval. */
  private static final int RETRIES_PER_HEARTBEAT = 10;

  /** Receives the contents of the store. */
  public interface Sink {
    /**
     * Receives all entries, by prefix. {@code jobs} was read first: changes after its revision may
     * be missing.
     */
    void read(WatchEvents jobs, WatchEvents runs, WatchEvents parts, List<VersionedEntry> shared);
  }

  private final ControllerContext context;
  private final BaseSnapshot baseSnapshot;
  private final BooleanSupplier cancelled;

  /**
   * @param baseSnapshot the contents that the current store incarnation started with; entries of
   *     the store override them
   * @param cancelled whether the result is no longer needed
   */
  public StoreLoader(
      ControllerContext context, BaseSnapshot baseSnapshot, BooleanSupplier cancelled) {
    this.context = context;
    this.baseSnapshot = baseSnapshot;
    this.cancelled = cancelled;
  }

  /** Passes the contents to {@code sink}, and retries if the sink throws; stops once cancelled. */
  public void read(Sink sink) {
    if (cancelled.getAsBoolean()) {
      return;
    }
    PersistedState.read(context.store())
        .map(
            stored -> {
              // Called within map, so that an exception of the sink is retried like a failed read.
              deliver(stored, sink);
              return null;
            })
        .onFailure(
            e -> {
              LOG.info("reading the store failed: {}", e.getMessage());
              context.timers().after(retryDelayS(), () -> read(sink));
            });
  }

  private void deliver(PersistedState stored, Sink sink) {
    if (cancelled.getAsBoolean()) {
      return;
    }
    sink.read(
        baseSnapshot.overlay(JobProgressCodec.JOB_PREFIX, stored.jobs()),
        baseSnapshot.overlay(JobProgressCodec.SHARD, stored.shards()),
        baseSnapshot.overlay(JobProgressCodec.REFINED_SHARD, stored.refinedShards()),
        baseSnapshot.overlayShared(stored.shared()));
  }

  private double retryDelayS() {
    return context.settings().workers().heartbeatIntervalS() / RETRIES_PER_HEARTBEAT;
  }
}
