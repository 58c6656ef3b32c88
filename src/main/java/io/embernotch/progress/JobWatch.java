package io.embernotch.progress;

import io.embernotch.codec.RunCodec;
import io.embernotch.env.Env;
import io.embernotch.model.Job;
import io.embernotch.store.Entry;
import io.embernotch.store.StoreFailure;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches the store for new jobs: the backstop for messages about them that never came. */
public final class JobWatch {
  private static final Logger LOG = LoggerFactory.getLogger(JobWatch.class);

  /** Is told of each job, known or not. */
  public interface Sink {
    void seen(Job job, int piece);
  }

  private final Env env;
  private final Sink sink;
  private final BooleanSupplier over;

  /** {@code over}: nobody needs it any more. */
  public JobWatch(Env env, Sink sink, BooleanSupplier over) {
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
        .watch(RunCodec.JOB, epoch, hold)
        .onSuccess(
            changes -> {
              changes.events().forEach(this::tell);
              from(Math.max(epoch, changes.epoch()));
            })
        .onFailure(
            e -> {
              if (StoreFailure.kindOf(e) == StoreFailure.Kind.TOO_OLD) {
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
        .list(RunCodec.JOB)
        .onSuccess(
            jobs -> {
              jobs.events().forEach(this::tell);
              from(jobs.epoch());
            })
        .onFailure(e -> env.timers().after(env.settings().workers().reportS(), this::readAll));
  }

  private void tell(Entry e) {
    if (e.present()) {
      Job job;
      try {
        job = RunCodec.readJob(e.value());
      } catch (RuntimeException bad) {
        // The next leader marks it; the watch goes on.
        LOG.error("the value of {} can't be read: {}", e.key(), bad.toString());
        return;
      }
      sink.seen(job, RunCodec.readPiece(e.value()));
    }
  }
}
