package io.embernotch.persistence;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.StoreException;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches the store for new jobs: the backstop for messages about them that never came. */
public final class SubmissionWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionWatcher.class);

  /** Is told of each job, known or not. */
  public interface Sink {
    void seen(Job job, int piece);
  }

  private final ControllerContext env;
  private final Sink sink;
  private final BooleanSupplier over;

  /** {@code over}: nobody needs it any more. */
  public SubmissionWatcher(ControllerContext env, Sink sink, BooleanSupplier over) {
    this.env = env;
    this.sink = sink;
    this.over = over;
  }

  public void from(long epoch) {
    if (over.getAsBoolean()) {
      return;
    }
    double hold = 3 * env.settings().workers().reportS();
    env.store()
        .watch(JobProgressCodec.JOB, epoch, hold)
        .onSuccess(
            changes -> {
              changes.events().forEach(this::tell);
              from(Math.max(epoch, changes.epoch()));
            })
        .onFailure(
            e -> {
              if (StoreException.kindOf(e) == StoreException.Kind.TOO_OLD) {
                readAll();
              } else {
                env.timers().after(env.settings().workers().reportS() / 6, () -> from(epoch));
              }
            });
  }

  private void readAll() {
    if (over.getAsBoolean()) {
      return;
    }
    env.store()
        .list(JobProgressCodec.JOB)
        .onSuccess(
            jobs -> {
              jobs.events().forEach(this::tell);
              from(jobs.epoch());
            })
        .onFailure(e -> env.timers().after(env.settings().workers().reportS(), this::readAll));
  }

  private void tell(VersionedEntry e) {
    if (e.present()) {
      Job job;
      try {
        job = JobProgressCodec.readJob(e.value());
      } catch (RuntimeException bad) {
        // The next leader marks it; the watch goes on.
        LOG.error("the value of {} can't be read: {}", e.key(), bad.toString());
        return;
      }
      sink.seen(job, JobProgressCodec.readPiece(e.value()));
    }
  }
}
