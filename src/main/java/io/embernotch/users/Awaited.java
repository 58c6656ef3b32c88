package io.embernotch.users;

import io.embernotch.codec.RunCodec;
import io.embernotch.env.Env;
import io.embernotch.env.Recent;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Shape;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Checks the jobs that a submission names. That one was never accepted only the store can tell; that
 * it was, and whether it is a service, never changes, so it is read once.
 */
public final class Awaited {
  private static final int MOST = 20_000;

  private final Env env;
  /** Accepted jobs, and whether they are services. */
  private final Map<String, Boolean> accepted = new Recent<>(MOST);

  public Awaited(Env env) {
    this.env = env;
  }

  /** A job is in the store. */
  public void accepted(JobSpec spec) {
    accepted.put(spec.ref(), spec.shape() == Shape.SERVICE);
  }

  /** Why the job can never run, or null; fails if the store does not tell. */
  public Future<String> neverRuns(JobSpec job) {
    List<Future<String>> all = new ArrayList<>();
    for (String ref : job.awaits()) {
      if (ref.equals(job.ref())) {
        return Future.succeededFuture("awaits itself, " + ref);
      }
      Boolean known = accepted.get(ref);
      all.add(known != null ? Future.succeededFuture(complaint(ref, known)) : read(ref));
    }
    return Future.all(all).map(f -> all.stream().map(Future::result).filter(Objects::nonNull).findFirst().orElse(null));
  }

  private Future<String> read(String ref) {
    return env.store()
        .get(RunCodec.JOB + ref)
        .map(
            entry -> {
              if (!entry.present()) {
                return "awaits " + ref + ", which was never accepted";
              }
              accepted(RunCodec.readJob(entry.value()).spec);
              return complaint(ref, accepted.get(ref));
            });
  }

  private static String complaint(String ref, boolean service) {
    return service ? "awaits " + ref + ", which is a service" : null;
  }
}
