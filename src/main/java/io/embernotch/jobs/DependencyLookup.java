package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.store.VersionedEntry;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads from the store those dependencies that the cluster state does not know yet, a few at a
 * time. Owned by the leader's event loop.
 */
final class DependencyLookup {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyLookup.class);

  /** One lookup may be under way for so many requests per second that the store allows. */
  private static final int STORE_REQUESTS_PER_LOOKUP = 20;

  private final ControllerContext context;
  private final Consumer<VersionedEntry> jobFound;

  /** Ids of the jobs to read, in the order in which they were first named. */
  private final Set<String> unknown = new LinkedHashSet<>();

  /** Ids of the jobs whose read has not been answered yet. */
  private final Set<String> inFlight = new LinkedHashSet<>();

  /** {@code jobFound} is called with each submission that the store holds. */
  DependencyLookup(ControllerContext context, Consumer<VersionedEntry> jobFound) {
    this.context = context;
    this.jobFound = jobFound;
  }

  /** Forgets the jobs still to be read; answers of reads under way are then ignored. */
  void clear() {
    unknown.clear();
  }

  /** The job is named by another one, and is not in the cluster state. */
  void add(String ref) {
    unknown.add(ref);
  }

  /** The job is in the cluster state now and need not be read. */
  void remove(String ref) {
    unknown.remove(ref);
  }

  /** Starts as many reads as may be under way at once; the others follow on later calls. */
  void resolve() {
    int maxInFlight =
        (int) Math.max(1, context.settings().minStoreLimits().rps() / STORE_REQUESTS_PER_LOOKUP);
    for (String ref : List.copyOf(unknown)) {
      if (inFlight.size() >= maxInFlight) {
        return;
      }
      if (inFlight.add(ref)) {
        read(ref);
      }
    }
  }

  private void read(String ref) {
    context
        .store()
        .get(JobProgressCodec.JOB + ref)
        .onComplete(
            result -> {
              inFlight.remove(ref);
              if (result.failed() || !unknown.remove(ref)) {
                return;
              }
              if (result.result().present()) {
                resolve();
                jobFound.accept(result.result());
              } else {
                // The controller that accepted the job naming it had read it, so this cannot be.
                LOG.error("job {} is a dependency, and is not in the store", ref);
              }
            });
  }
}
