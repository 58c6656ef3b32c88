package io.embernotch.actor;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

/** Vert.x's timers, all on one event loop. May be set from any thread. */
public final class VertxTimers implements Timers {
  private static final int MS_PER_S = 1000;

  private final Vertx vertx;
  private final Context loop;

  /**
   * @param loop context of the event loop on which tasks run
   */
  public VertxTimers(Vertx vertx, Context loop) {
    this.vertx = vertx;
    this.loop = loop;
  }

  @Override
  public Runnable after(double seconds, Runnable task) {
    long delayMs = Math.max(1, Math.round(seconds * MS_PER_S));
    if (Vertx.currentContext() == loop) {
      long id = vertx.setTimer(delayMs, v -> task.run());
      return () -> vertx.cancelTimer(id);
    }
    // Vert.x runs a timer on the context that sets it. Its id is not known here then, so a flag
    // cancels the task in place of the timer.
    boolean[] cancelled = new boolean[1];
    loop.runOnContext(
        v ->
            vertx.setTimer(
                delayMs,
                id -> {
                  if (!cancelled[0]) {
                    task.run();
                  }
                }));
    return () -> cancelled[0] = true;
  }
}
