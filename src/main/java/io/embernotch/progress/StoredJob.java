package io.embernotch.progress;

import io.embernotch.codec.RunCodec;
import io.embernotch.copy.Base;
import io.embernotch.copy.StoredPart;
import io.embernotch.model.Job;
import io.embernotch.store.Entry;
import io.embernotch.store.StoreClient;
import io.vertx.core.Future;
import java.util.List;

/** A job put together from its entries in the store, whatever pieces and parts it is kept in. */
public final class StoredJob {
  private StoredJob() {}

  /**
   * What the store and the base of its era hold of a job's submission; an absent entry if it was
   * never accepted.
   */
  public static Future<Entry> submission(StoreClient store, Base base, String ref) {
    return store
        .getSurely(RunCodec.JOB + ref)
        .map(
            e ->
                base.beneath(ref, RunCodec.JOB, present(e)).stream()
                    .findFirst()
                    .orElse(new Entry(e.key(), null, 0)));
  }

  /**
   * Reads a job, its first piece and its parts; null if it was never accepted. Three reads at most.
   * Not for one of which the base knows only the end.
   */
  public static Future<Job> read(StoreClient store, Base base, String ref) {
    return submission(store, base, ref)
        .compose(
            entry -> {
              if (!entry.present()) {
                return Future.succeededFuture(null);
              }
              Job job = RunCodec.readJob(entry.value());
              return store
                  .get(RunCodec.RUN + ref)
                  .compose(
                      run -> progress(store, base, job, run, RunCodec.readPiece(entry.value())));
            });
  }

  private static List<Entry> present(Entry e) {
    return e.present() ? List.of(e) : List.of();
  }

  private static Future<Job> progress(
      StoreClient store, Base base, Job job, Entry stored, int pieceSize) {
    for (Entry run : base.beneath(job.spec.ref(), RunCodec.RUN, present(stored))) {
      RunCodec.readRun(run.value(), job, pieceSize, RunCodec.pieceOf(run.key()));
    }
    if (job.end != null) {
      return Future.succeededFuture(job);
    }
    // Parts are only made of pieces that were there, or of a job's very first write.
    return store
        .list(RunCodec.PART + job.spec.ref() + "/")
        .map(
            found -> {
              List<Entry> parts = base.beneath(job.spec.ref(), RunCodec.PART, found.events());
              StoredPart.add(job, parts.stream().map(StoredPart::of).toList());
              return job;
            });
  }
}
