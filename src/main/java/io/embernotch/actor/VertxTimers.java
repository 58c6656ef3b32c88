package io.embernotch.actor;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

/** Vert.x's timers, all on one event loop. */
public final class VertxTimers implements Timers {
  private final Vertx vertx;
  private final Context loop;

  public VertxTimers(Vertx vertx, Context loop) {
    this.vertx = vertx;
    this.loop = loop;
  }

  @Override
  public Runnable after(double seconds, Runnable task) {
    long ms = Math.max(1, Math.round(seconds * 1000));
    if (Vertx.currentContext() == loop) {
      long id = vertx.setTimer(ms, v -> task.run());
      return () -> vertx.cancelTimer(id);
    }
    boolean[] cancelled = new boolean[1];
    loop.runOnContext(
        v ->
            vertx.setTimer(
                ms,
                w -> {
                  if (!cancelled[0]) {
                    task.run();
                  }
                }));
    return () -> cancelled[0] = true;
  }
}
