package io.embernotch.leader;

import io.embernotch.context.ControllerContext;
import io.embernotch.state.ClusterState;
import io.embernotch.state.ClusterSummary;
import io.embernotch.persistence.StateWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a leader says of itself in the log, every half lease of a worker. */
final class StatusLogger {
  private static final Logger LOG = LoggerFactory.getLogger(StatusLogger.class);

  private final ControllerContext env;
  private final ClusterState ledger;
  private final SchedulingLoop planning;
  private final StateWriter committer;
  private double writtenAt = -1e9;

  StatusLogger(ControllerContext env, ClusterState ledger, SchedulingLoop planning, StateWriter committer) {
    this.env = env;
    this.ledger = ledger;
    this.planning = planning;
    this.committer = committer;
  }

  void tick(double now) {
    if (now - writtenAt <= env.settings().workers().leaseS() / 2) {
      return;
    }
    writtenAt = now;
    LOG.info("{}", ClusterSummary.of(ledger));
    line("planned", planning.line());
    env.work().log();
    line("written", committer.line());
    line("waits of the largest", ledger.largest.line(ledger.jobs.values(), env.clock().wallMs()));
  }

  private static void line(String what, String text) {
    if (text != null) {
      LOG.info("{}: {}", what, text);
    }
  }
}
