package io.embernotch.persistence;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.store.StoreException;
import io.embernotch.store.VersionedEntry;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the store for new jobs. Finds jobs whose announcement to the leader by the controller
 * that accepted them was lost.
 */
public final class SubmissionWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionWatcher.class);

  /** Timeout of a long poll, in heartbeat intervals. */
  private static final double LONG_POLL_HEARTBEATS = 3;

  /** A failed long poll is retried after a heartbeat interval divided by this. */
  private static final double RETRIES_PER_HEARTBEAT = 6;

  /** Receives each job that the watcher finds; a job may be reported more than once. */
  public interface Sink {
    /** Called for a job in the store with {@code shardSize} tasks per shard. */
    void jobFound(Job job, int shardSize);
  }

  private final ControllerContext context;
  private final Sink sink;
  private final BooleanSupplier stopped;
  private final double heartbeatIntervalS;

  /**
   * Creates a watcher; {@link #watchFrom} starts it.
   *
   * @param stopped whether the jobs are no longer needed; the watch ends then
   */
  public SubmissionWatcher(ControllerContext context, Sink sink, BooleanSupplier stopped) {
    this.context = context;
    this.sink = sink;
    this.stopped = stopped;
    this.heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
  }

  /** Starts watching for jobs that are written after this revision of the store. */
  public void watchFrom(long revision) {
    if (stopped.getAsBoolean()) {
      return;
    }
    context
        .store()
        .watch(JobProgressCodec.JOB_PREFIX, revision, LONG_POLL_HEARTBEATS * heartbeatIntervalS)
        .onSuccess(
            changes -> {
              changes.events().forEach(this::deliver);
              watchFrom(Math.max(revision, changes.revision()));
            })
        .onFailure(failure -> watchFailed(revision, failure));
  }

  private void watchFailed(long revision, Throwable failure) {
    if (StoreException.kindOf(failure) == StoreException.Kind.TOO_OLD) {
      readAll();
    } else {
      context.timers().after(heartbeatIntervalS / RETRIES_PER_HEARTBEAT, () -> watchFrom(revision));
    }
  }

  private void readAll() {
    if (stopped.getAsBoolean()) {
      return;
    }
    context
        .store()
        .forEachPage(JobProgressCodec.JOB_PREFIX, page -> page.forEach(this::deliver))
        .onSuccess(this::watchFrom)
        .onFailure(failure -> context.timers().after(heartbeatIntervalS, this::readAll));
  }

  private void deliver(VersionedEntry entry) {
    if (!entry.present()) {
      return;
    }
    StoredSubmission found;
    try {
      found = StoredSubmission.read(entry.value());
    } catch (RuntimeException e) {
      // A value that can't be read must not end the watch; the next leader marks its job.
      LOG.error("the value of {} can't be read: {}", entry.key(), e.toString());
      return;
    }
    sink.jobFound(found.job(), found.shardSize());
  }
}
