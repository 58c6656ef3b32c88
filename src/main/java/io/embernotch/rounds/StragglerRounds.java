package io.embernotch.rounds;

import io.embernotch.context.ControllerContext;
import io.embernotch.straggler.LocalPartition;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.Restart;
import io.embernotch.straggler.StragglerRound;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a round over this controller's partition at fixed intervals, and proposes its restarts. */
public final class StragglerRounds {
  private static final Logger LOG = LoggerFactory.getLogger(StragglerRounds.class);

  private final ControllerContext context;
  private final LocalPartition localPartition;
  private final StragglerRound round;
  private final Consumer<List<Restart>> propose;

  /**
   * @param propose receives the restarts of a round, at least one
   */
  public StragglerRounds(
      ControllerContext context, LocalPartition localPartition, Consumer<List<Restart>> propose) {
    this.context = context;
    this.localPartition = localPartition;
    this.propose = propose;
    this.round =
        new StragglerRound(
            context.operatorSettings().flagRatio(),
            context.operatorSettings().beta(),
            context.operatorSettings().roundS());
  }

  /** Schedules the next round, which schedules the one after it. */
  public void start() {
    context.timers().after(context.operatorSettings().roundS(), this::run);
  }

  private void run() {
    start();
    if (!context.operatorSettings().stragglerEnabled()) {
      return;
    }
    Collection<MachineView> views = localPartition.current();
    List<Restart> restarts = round.run(views);
    if (!restarts.isEmpty()) {
      LOG.info("partition of {} machines: {} restarts proposed", views.size(), restarts.size());
      propose.accept(restarts);
    }
  }
}
