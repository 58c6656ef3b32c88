package io.embernotch.jobs;

import io.embernotch.codec.RunCodec;
import io.embernotch.copy.Base;
import io.embernotch.env.Env;
import io.embernotch.store.Changes;
import io.embernotch.store.Entry;
import io.embernotch.store.StoreClient;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads all that the store holds of jobs, as often as it takes. */
public final class Reading {
  private static final Logger LOG = LoggerFactory.getLogger(Reading.class);

  /** Is given what was read. */
  public interface Sink {
    /** {@code jobs} was read first: what changed after its epoch may be missing. */
    void read(Changes jobs, Changes runs, Changes parts, List<Entry> shared);
  }

  private final Env env;
  private final Base base;
  private final BooleanSupplier over;

  /** {@code base} stands beneath what the store holds; {@code over}: nobody needs it any more. */
  public Reading(Env env, Base base, BooleanSupplier over) {
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
        .list(RunCodec.JOB)
        .compose(
            jobs ->
                store
                    .list(RunCodec.RUN)
                    .compose(
                        runs ->
                            store
                                .list(RunCodec.PART)
                                .compose(
                                    parts ->
                                        store
                                            .list(RunCodec.SHARED)
                                            .map(
                                                shared -> {
                                                  if (!over.getAsBoolean()) {
                                                    sink.read(
                                                        base.beneath(RunCodec.JOB, jobs),
                                                        base.beneath(RunCodec.RUN, runs),
                                                        base.beneath(RunCodec.PART, parts),
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
