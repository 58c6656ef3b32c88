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
 * Reads from the store those dependencies that are not in the cluster state, a few at a time. Owned
 * by the leader's event loop.
 */
final class DependencyLookup {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyLookup.class);

  /**
   * One lookup may be in flight for each this many requests per second of the store's rate limit.
   */
  private static final int STORE_REQUESTS_PER_LOOKUP = 20;

  private final ControllerContext context;
  private final Consumer<VersionedEntry> jobFound;

  /** Ids of the jobs to read, in the order in which they were first named. */
  private final Set<String> unresolved = new LinkedHashSet<>();

  /** Ids of the jobs whose read has not been answered yet. */
  private final Set<String> inFlight = new LinkedHashSet<>();

  /**
   * Creates an empty lookup; {@code jobFound} is called with each submission found in the store.
   */
  DependencyLookup(ControllerContext context, Consumer<VersionedEntry> jobFound) {
    this.context = context;
    this.jobFound = jobFound;
  }

  /** Drops all jobs that are still to be read; responses to reads in flight are then ignored. */
  void clear() {
    unresolved.clear();
  }

  /** Adds a job that another one depends on and that is not in the cluster state. */
  void add(String ref) {
    unresolved.add(ref);
  }

  /** Removes a job that has been added to the cluster state and need not be read any more. */
  void remove(String ref) {
    unresolved.remove(ref);
  }

  /** Starts reads up to the limit of reads in flight; later calls start the others. */
  void resolve() {
    int maxInFlight =
        (int) Math.max(1, context.settings().minStoreLimits().rps() / STORE_REQUESTS_PER_LOOKUP);
    for (String ref : List.copyOf(unresolved)) {
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
        .get(JobProgressCodec.JOB_PREFIX + ref)
        .onComplete(
            result -> {
              inFlight.remove(ref);
              if (result.failed() || !unresolved.remove(ref)) {
                return;
              }
              if (result.result().present()) {
                resolve();
                jobFound.accept(result.result());
              } else {
                // Must not happen: a controller accepts a job only after it has read all its
                // dependencies.
                LOG.error("job {} is a dependency but is not in the store", ref);
              }
            });
  }
}
