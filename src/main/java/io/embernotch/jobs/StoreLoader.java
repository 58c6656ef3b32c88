package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import io.vertx.core.Future;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads all that the store holds of jobs, and retries until that succeeds. Owned by the leader's
 * event loop.
 */
public final class StoreLoader {
  private static final Logger LOG = LoggerFactory.getLogger(StoreLoader.class);

  /** A failed load is retried so many times in a heartbeat interval. */
  private static final int RETRIES_PER_HEARTBEAT = 10;

  /** Receives the contents of the store. */
  public interface Sink {
    /**
     * All entries by their prefix. {@code jobs} was read first: what changed after its revision may
     * be missing.
     */
    void read(WatchEvents jobs, WatchEvents runs, WatchEvents parts, List<VersionedEntry> shared);
  }

  /** The prefixes that have been read so far. */
  private static final class StoreContents {
    WatchEvents jobs;
    WatchEvents runs;
    WatchEvents parts;
    WatchEvents shared;
  }

  private final ControllerContext context;
  private final BaseSnapshot baseSnapshot;
  private final BooleanSupplier cancelled;

  /**
   * @param baseSnapshot what the present store incarnation began with; entries of the store
   *     override it
   * @param cancelled whether the result is no longer needed
   */
  public StoreLoader(
      ControllerContext context, BaseSnapshot baseSnapshot, BooleanSupplier cancelled) {
    this.context = context;
    this.baseSnapshot = baseSnapshot;
    this.cancelled = cancelled;
  }

  /** Gives the contents to {@code sink}, again if it throws; stops once cancelled. */
  public void read(Sink sink) {
    if (cancelled.getAsBoolean()) {
      return;
    }
    listAll()
        .map(
            contents -> {
              // Within map, so that a failure of the sink is retried like one of the store.
              deliver(contents, sink);
              return null;
            })
        .onFailure(
            e -> {
              LOG.info("reading the store failed: {}", e.getMessage());
              context.timers().after(retryDelayS(), () -> read(sink));
            });
  }

  /** Lists the prefixes one after the other, submissions first. */
  private Future<StoreContents> listAll() {
    StoreClient store = context.store();
    StoreContents contents = new StoreContents();
    return store
        .list(JobProgressCodec.JOB)
        .compose(
            jobs -> {
              contents.jobs = jobs;
              return store.list(JobProgressCodec.RUN);
            })
        .compose(
            runs -> {
              contents.runs = runs;
              return store.list(JobProgressCodec.REFINED_SHARD);
            })
        .compose(
            parts -> {
              contents.parts = parts;
              return store.list(JobProgressCodec.SHARED);
            })
        .map(
            shared -> {
              contents.shared = shared;
              return contents;
            });
  }

  private void deliver(StoreContents contents, Sink sink) {
    if (cancelled.getAsBoolean()) {
      return;
    }
    sink.read(
        baseSnapshot.beneath(JobProgressCodec.JOB, contents.jobs),
        baseSnapshot.beneath(JobProgressCodec.RUN, contents.runs),
        baseSnapshot.beneath(JobProgressCodec.REFINED_SHARD, contents.parts),
        baseSnapshot.beneathShared(contents.shared));
  }

  private double retryDelayS() {
    return context.settings().workers().heartbeatIntervalS() / RETRIES_PER_HEARTBEAT;
  }
}
