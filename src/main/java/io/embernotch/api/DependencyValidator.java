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
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Checks the dependencies that a submission names. Only the store can prove that one was never
 * accepted; that it was, and whether it is a service, never changes, so that is read once. Owned by
 * the controller's event loop.
 */
final class DependencyValidator {
  private static final int MAX_CACHED_JOBS = 20_000;

  private final ControllerContext context;
  private final Supplier<BaseSnapshot> baseSnapshot;
  private final BooleanSupplier mayAnswerNotFound;

  /** By id: accepted jobs, and whether they are services. */
  private final Map<String, Boolean> services = new LeastRecentlyUsed<>(MAX_CACHED_JOBS);

  /**
   * @param baseSnapshot what the present store incarnation began with
   * @param mayAnswerNotFound whether a job that the store does not hold was never accepted
   */
  DependencyValidator(
      ControllerContext context,
      Supplier<BaseSnapshot> baseSnapshot,
      BooleanSupplier mayAnswerNotFound) {
    this.context = context;
    this.baseSnapshot = baseSnapshot;
    this.mayAnswerNotFound = mayAnswerNotFound;
  }

  /** The job is in the store. */
  void accepted(JobSpec spec) {
    services.put(spec.ref(), spec.shape() == JobShape.SERVICE);
  }

  /** Whether the job was seen in the store. */
  boolean knows(String ref) {
    return services.containsKey(ref);
  }

  /**
   * Why the job can never run, in words for its user; empty if it can. Fails if the store does not
   * answer, or may have lost a dependency.
   */
  Future<Optional<String>> rejectionReason(JobSpec job) {
    List<Future<Optional<String>>> checks = new ArrayList<>();
    for (String ref : job.dependencies()) {
      if (ref.equals(job.ref())) {
        return Future.succeededFuture(Optional.of("awaits itself, " + ref));
      }
      checks.add(check(ref));
    }
    return Future.all(checks)
        .map(all -> checks.stream().map(Future::result).flatMap(Optional::stream).findFirst());
  }

  private Future<Optional<String>> check(String ref) {
    Boolean service = services.get(ref);
    return service != null
        ? Future.succeededFuture(rejectionReason(ref, service))
        : readAndCheck(ref);
  }

  private Future<Optional<String>> readAndCheck(String ref) {
    if (baseSnapshot.get().endedJob(ref) != null) {
      // Only its end is left. A service that has ended was cancelled, and so is what depends on it.
      return Future.succeededFuture(Optional.empty());
    }
    return PersistedJob.submission(context.store(), baseSnapshot.get(), ref)
        .map(
            entry -> {
              if (!entry.present() && !mayAnswerNotFound.getAsBoolean()) {
                throw new IllegalStateException(ref + " may have been accepted before a loss");
              }
              if (!entry.present()) {
                return Optional.of("awaits " + ref + ", which was never accepted");
              }
              JobSpec spec = JobProgressCodec.readJob(entry.value()).spec;
              accepted(spec);
              return rejectionReason(ref, spec.shape() == JobShape.SERVICE);
            });
  }

  private static Optional<String> rejectionReason(String ref, boolean service) {
    return service ? Optional.of("awaits " + ref + ", which is a service") : Optional.empty();
  }
}
