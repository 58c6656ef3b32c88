package io.embernotch.progress;

import io.embernotch.codec.RunCodec;
import io.embernotch.model.Job;
import io.embernotch.store.Entry;
import io.embernotch.store.StoreClient;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A job put together from its entries in the store, whatever pieces and parts it is kept in. */
public final class StoredJob {
  /** A part by its key. */
  public record Part(String ref, int size, int index, Entry entry) {
    public static Part of(Entry entry) {
      String[] names = entry.key().substring(RunCodec.PART.length()).split("/");
      return new Part(names[0], Integer.parseInt(names[1]), Integer.parseInt(names[2]), entry);
    }
  }

  private StoredJob() {}

  /** Smaller parts are newer than larger ones, and these than pieces. */
  public static void addParts(Job job, List<Part> parts) {
    List<Part> order = new ArrayList<>(parts);
    order.sort(Comparator.comparingInt((Part p) -> -p.size()));
    order.forEach(p -> RunCodec.readPart(p.entry().value(), job, p.size(), p.index()));
  }

  /** Reads a job, its first piece and its parts; null if it was never accepted. Three reads at most. */
  public static Future<Job> read(StoreClient store, String ref) {
    return store
        .get(RunCodec.JOB + ref)
        .compose(
            entry -> {
              if (!entry.present()) {
                return Future.succeededFuture(null);
              }
              Job job = RunCodec.readJob(entry.value());
              return store.get(RunCodec.RUN + ref).compose(run -> progress(store, job, run, RunCodec.readPiece(entry.value())));
            });
  }

  private static Future<Job> progress(StoreClient store, Job job, Entry run, int pieceSize) {
    if (!run.present()) {
      // Parts are only made of pieces that were there, or of a job's very first write.
      return parts(store, job);
    }
    RunCodec.readRun(run.value(), job, pieceSize, 0);
    return job.end != null ? Future.succeededFuture(job) : parts(store, job);
  }

  private static Future<Job> parts(StoreClient store, Job job) {
    return store
        .list(RunCodec.PART + job.spec.ref() + "/")
        .map(
            found -> {
              addParts(job, found.events().stream().map(Part::of).toList());
              return job;
            });
  }
}
