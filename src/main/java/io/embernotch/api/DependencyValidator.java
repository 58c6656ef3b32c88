package io.embernotch.api;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.persistence.PersistedJob;
import io.embernotch.snapshot.BaseSnapshot;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Checks the jobs that a submission names. That one was never accepted only the store can tell;
 * that it was, and whether it is a service, never changes, so it is read once.
 */
public final class DependencyValidator {
  private static final int MOST = 20_000;

  private final ControllerContext context;
  private final Supplier<BaseSnapshot> base;

  /** Accepted jobs, and whether they are services. */
  private final Map<String, Boolean> accepted = new LeastRecentlyUsed<>(MOST);

  /** {@code base}: what the present incarnation began with. */
  public DependencyValidator(ControllerContext context, Supplier<BaseSnapshot> base) {
    this.context = context;
    this.base = base;
  }

  /** A job is in the store. */
  public void accepted(JobSpec spec) {
    accepted.put(spec.ref(), spec.shape() == JobShape.SERVICE);
  }

  /** The job was seen in the store. */
  public boolean knows(String ref) {
    return accepted.containsKey(ref);
  }

  /** Why the job can never run, or null; fails if the store does not tell. */
  public Future<String> neverRuns(JobSpec job) {
    List<Future<String>> all = new ArrayList<>();
    for (String ref : job.dependencies()) {
      if (ref.equals(job.ref())) {
        return Future.succeededFuture("awaits itself, " + ref);
      }
      Boolean known = accepted.get(ref);
      all.add(known != null ? Future.succeededFuture(complaint(ref, known)) : read(ref));
    }
    return Future.all(all)
        .map(
            f ->
                all.stream().map(Future::result).filter(Objects::nonNull).findFirst().orElse(null));
  }

  private Future<String> read(String ref) {
    if (base.get().ended(ref) != null) {
      // Only its end is left; a service that has ended was cancelled, and so is what awaits it.
      return Future.succeededFuture(null);
    }
    return PersistedJob.submission(context.store(), base.get(), ref)
        .map(
            entry -> {
              if (!entry.present()) {
                return "awaits " + ref + ", which was never accepted";
              }
              accepted(JobProgressCodec.readJob(entry.value()).spec);
              return complaint(ref, accepted.get(ref));
            });
  }

  private static String complaint(String ref, boolean service) {
    return service ? "awaits " + ref + ", which is a service" : null;
  }
}
