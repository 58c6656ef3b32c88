package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads all that the store holds of jobs, as often as it takes. */
public final class StoreLoader {
  private static final Logger LOG = LoggerFactory.getLogger(StoreLoader.class);

  /** Is given what was read. */
  public interface Sink {
    /** {@code jobs} was read first: what changed after its epoch may be missing. */
    void read(WatchEvents jobs, WatchEvents runs, WatchEvents parts, List<VersionedEntry> shared);
  }

  private final ControllerContext context;
  private final BaseSnapshot baseSnapshot;
  private final BooleanSupplier over;

  /** {@code base} stands beneath what the store holds; {@code over}: nobody needs it any more. */
  public StoreLoader(ControllerContext context, BaseSnapshot baseSnapshot, BooleanSupplier over) {
    this.context = context;
    this.baseSnapshot = baseSnapshot;
    this.over = over;
  }

  public void read(Sink sink) {
    if (over.getAsBoolean()) {
      return;
    }
    StoreClient store = context.store();
    store
        .list(JobProgressCodec.JOB)
        .compose(
            jobs ->
                store
                    .list(JobProgressCodec.SHARD)
                    .compose(
                        runs ->
                            store
                                .list(JobProgressCodec.REFINED_SHARD)
                                .compose(
                                    parts ->
                                        store
                                            .list(JobProgressCodec.SHARED)
                                            .map(
                                                shared -> {
                                                  if (!over.getAsBoolean()) {
                                                    sink.read(
                                                        baseSnapshot.overlay(
                                                            JobProgressCodec.JOB, jobs),
                                                        baseSnapshot.overlay(
                                                            JobProgressCodec.SHARD, runs),
                                                        baseSnapshot.overlay(
                                                            JobProgressCodec.REFINED_SHARD, parts),
                                                        baseSnapshot.overlayShared(shared));
                                                  }
                                                  return null;
                                                }))))
        .onFailure(
            e -> {
              LOG.info("reading the store failed: {}", e.getMessage());
              context
                  .timers()
                  .after(context.settings().workers().heartbeatIntervalS() / 10, () -> read(sink));
            });
  }
}
