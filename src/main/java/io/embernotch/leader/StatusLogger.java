package io.embernotch.leader;

import io.embernotch.actor.Clock;
import io.embernotch.context.ControllerContext;
import io.embernotch.persistence.StateWriter;
import io.embernotch.state.ClusterState;
import io.embernotch.state.ClusterSummary;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the status of the leader, twice in the duration of an agent's lease. */
final class StatusLogger {
  private static final Logger LOG = LoggerFactory.getLogger(StatusLogger.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final SchedulingLoop schedulingLoop;
  private final StateWriter stateWriter;
  private double loggedAt = Clock.NEVER;

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

  /**
   * Logs the status if it is due.
   *
   * @param now seconds of the monotonic clock
   */
  void tick(double now) {
    double intervalS = context.settings().workers().leaseS() / 2;
    if (now - loggedAt <= intervalS) {
      return;
    }
    loggedAt = now;
    LOG.info("{}", ClusterSummary.of(state));
    logUnlessNull("planned", schedulingLoop.statusLine());
    logUnlessNull("waiting", schedulingLoop.waits().line());
    LOG.info("GPUs of teams: {}", schedulingLoop.waits().gpusByTeam());
    context.profile().log();
    logUnlessNull("written", stateWriter.statusLine());
    logUnlessNull(
        "wait times of the largest jobs",
        state.largestJobWaitTimes.statusLine(state.jobs.values(), context.clock().wallMs()));
  }

  private static void logUnlessNull(String subject, String status) {
    if (status != null) {
      LOG.info("{}: {}", subject, status);
    }
  }
}
