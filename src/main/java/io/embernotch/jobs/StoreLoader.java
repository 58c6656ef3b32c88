package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.context.ControllerContext;
import io.embernotch.store.WatchEvents;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.StoreClient;
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

  private final ControllerContext env;
  private final BaseSnapshot base;
  private final BooleanSupplier over;

  /** {@code base} stands beneath what the store holds; {@code over}: nobody needs it any more. */
  public StoreLoader(ControllerContext env, BaseSnapshot base, BooleanSupplier over) {
    this.env = env;
    this.base = base;
    this.over = over;
  }

  public void read(Sink sink) {
    if (over.getAsBoolean()) {
      return;
    }
    StoreClient store = env.store();
    store
        .list(JobProgressCodec.JOB)
        .compose(
            jobs ->
                store
                    .list(JobProgressCodec.RUN)
                    .compose(
                        runs ->
                            store
                                .list(JobProgressCodec.PART)
                                .compose(
                                    parts ->
                                        store
                                            .list(JobProgressCodec.SHARED)
                                            .map(
                                                shared -> {
                                                  if (!over.getAsBoolean()) {
                                                    sink.read(
                                                        base.beneath(JobProgressCodec.JOB, jobs),
                                                        base.beneath(JobProgressCodec.RUN, runs),
                                                        base.beneath(JobProgressCodec.PART, parts),
                                                        base.beneathShared(shared));
                                                  }
                                                  return null;
                                                }))))
        .onFailure(
            e -> {
              LOG.info("reading the store failed: {}", e.getMessage());
              env.timers().after(env.settings().workers().reportS() / 10, () -> read(sink));
            });
  }
}
