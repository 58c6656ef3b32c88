package io.embernotch.rounds;

import io.embernotch.context.ControllerContext;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.LocalPartition;
import io.embernotch.straggler.Restart;
import io.embernotch.straggler.StragglerRound;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The paper's rounds over this controller's part of the machines. */
public final class StragglerRounds {
  private static final Logger LOG = LoggerFactory.getLogger(StragglerRounds.class);

  private final ControllerContext env;
  private final LocalPartition part;
  private final StragglerRound round;
  private final Consumer<List<Restart>> propose;

  public StragglerRounds(ControllerContext env, LocalPartition part, Consumer<List<Restart>> propose) {
    this.env = env;
    this.part = part;
    this.propose = propose;
    this.round =
        new StragglerRound(env.operator().flagRatio(), env.operator().beta(), env.operator().roundS());
  }

  public void start() {
    env.timers().after(env.operator().roundS(), this::run);
  }

  private void run() {
    start();
    if (!env.operator().stragglerEnabled()) {
      return;
    }
    Collection<MachineView> views = part.current();
    List<Restart> restarts = round.run(views);
    if (!restarts.isEmpty()) {
      LOG.info("part of {} machines: {} restarts proposed", views.size(), restarts.size());
      propose.accept(restarts);
    }
  }
}
