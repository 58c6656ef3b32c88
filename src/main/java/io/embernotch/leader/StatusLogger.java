package io.embernotch.leader;

import io.embernotch.context.ControllerContext;
import io.embernotch.persistence.StateWriter;
import io.embernotch.state.ClusterState;
import io.embernotch.state.ClusterSummary;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a leader says of itself in the log, every half lease of a worker. */
final class StatusLogger {
  private static final Logger LOG = LoggerFactory.getLogger(StatusLogger.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final SchedulingLoop schedulingLoop;
  private final StateWriter stateWriter;
  private double writtenAt = -1e9;

  StatusLogger(
      ControllerContext context,
      ClusterState state,
      SchedulingLoop schedulingLoop,
      StateWriter stateWriter) {
    this.context = context;
    this.state = state;
    this.schedulingLoop = schedulingLoop;
    this.stateWriter = stateWriter;
  }

  void tick(double now) {
    if (now - writtenAt <= context.settings().workers().leaseS() / 2) {
      return;
    }
    writtenAt = now;
    LOG.info("{}", ClusterSummary.of(state));
    line("planned", schedulingLoop.statusLine());
    context.profile().log();
    line("written", stateWriter.statusLine());
    line(
        "waits of the largest",
        state.largestJobWaits.line(state.jobs.values(), context.clock().wallMs()));
  }

  private static void line(String what, String text) {
    if (text != null) {
      LOG.info("{}: {}", what, text);
    }
  }
}
