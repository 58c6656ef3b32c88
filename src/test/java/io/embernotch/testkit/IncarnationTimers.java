package io.embernotch.testkit;

import io.embernotch.actor.Timers;
import java.util.concurrent.Executor;

/** The timers and the event loop of one incarnation of a controller: they stop with it. */
final class IncarnationTimers implements Timers, Executor {
  private final FakeTime time;
  private final ControllerNode node;
  private final int incarnation;

  /** Belongs to the present incarnation of a node. */
  IncarnationTimers(FakeTime time, ControllerNode node) {
    this.time = time;
    this.node = node;
    this.incarnation = node.incarnation();
  }

  @Override
  public Runnable after(double seconds, Runnable task) {
    return time.after(
        seconds,
        () -> {
          if (node.incarnation() == incarnation) {
            task.run();
          }
        });
  }

  @Override
  public void execute(Runnable task) {
    after(0, task);
  }
}
