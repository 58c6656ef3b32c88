package io.embernotch.persistence;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.store.StoreException;
import io.embernotch.store.VersionedEntry;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches the store for new jobs: the backstop for messages about them that never came. */
public final class SubmissionWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionWatcher.class);

  /** Is told of each job, known or not. */
  public interface Sink {
    void seen(Job job, int shard);
  }

  private final ControllerContext context;
  private final Sink sink;
  private final BooleanSupplier over;

  /** {@code over}: nobody needs it any more. */
  public SubmissionWatcher(ControllerContext context, Sink sink, BooleanSupplier over) {
    this.context = context;
    this.sink = sink;
    this.over = over;
  }

  public void from(long epoch) {
    if (over.getAsBoolean()) {
      return;
    }
    double hold = 3 * context.settings().workers().heartbeatIntervalS();
    context
        .store()
        .watch(JobProgressCodec.JOB, epoch, hold)
        .onSuccess(
            changes -> {
              changes.events().forEach(this::tell);
              from(Math.max(epoch, changes.revision()));
            })
        .onFailure(
            e -> {
              if (StoreException.kindOf(e) == StoreException.Kind.TOO_OLD) {
                readAll();
              } else {
                context
                    .timers()
                    .after(
                        context.settings().workers().heartbeatIntervalS() / 6, () -> from(epoch));
              }
            });
  }

  private void readAll() {
    if (over.getAsBoolean()) {
      return;
    }
    context
        .store()
        .list(JobProgressCodec.JOB)
        .onSuccess(
            jobs -> {
              jobs.events().forEach(this::tell);
              from(jobs.revision());
            })
        .onFailure(
            e ->
                context
                    .timers()
                    .after(context.settings().workers().heartbeatIntervalS(), this::readAll));
  }

  private void tell(VersionedEntry entry) {
    if (entry.present()) {
      Job job;
      try {
        job = JobProgressCodec.readJob(entry.value());
      } catch (RuntimeException bad) {
        // The next leader marks it; the watch goes on.
        LOG.error("the value of {} can't be read: {}", entry.key(), bad.toString());
        return;
      }
      sink.seen(job, JobProgressCodec.readShardSize(entry.value()));
    }
  }
}
