package io.embernotch.steward;

import io.embernotch.codec.RunCodec;
import io.embernotch.store.Entry;
import io.embernotch.store.StoreFailure;

/** Watches the store for new jobs: the backstop for messages about them that never came. */
final class JobWatch {
  /** Is told of each job, known or not. */
  interface Sink {
    void seen(StewardMessage.JobCreated job);

    boolean over();
  }

  private final Env env;
  private final Sink sink;

  JobWatch(Env env, Sink sink) {
    this.env = env;
    this.sink = sink;
  }

  void from(long epoch) {
    if (sink.over()) {
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
    if (sink.over()) {
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
      sink.seen(new StewardMessage.JobCreated(RunCodec.readJob(e.value()), RunCodec.readPiece(e.value())));
    }
  }
}
