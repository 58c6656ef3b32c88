package io.embernotch.rounds;

import io.embernotch.env.Env;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.PartKeeper;
import io.embernotch.straggler.Restart;
import io.embernotch.straggler.Round;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The paper's rounds over this controller's part of the machines. */
public final class Rounds {
  private static final Logger LOG = LoggerFactory.getLogger(Rounds.class);

  private final Env env;
  private final PartKeeper part;
  private final Round round;
  private final Consumer<List<Restart>> propose;

  public Rounds(Env env, PartKeeper part, Consumer<List<Restart>> propose) {
    this.env = env;
    this.part = part;
    this.propose = propose;
    this.round =
        new Round(env.operator().flagRatio(), env.operator().beta(), env.operator().roundS());
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
