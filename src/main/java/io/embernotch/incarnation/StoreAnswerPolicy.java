package io.embernotch.incarnation;

import io.embernotch.context.ControllerContext;
import io.vertx.core.Future;

/**
 * Decides which answers to users may be based on the store alone. The store may have lost data
 * without this controller having noticed.
 */
public final class StoreAnswerPolicy {
  private final ControllerContext context;
  private final IncarnationHost host;
  private final StoreIncarnationTracker incarnations;
  private final IncarnationState state;
  private final ContentsConfirmation confirmation;
  private final StoreHeartbeatReader heartbeatReader;
  private final double startedAt;
  private final double startupSilenceS;

  /**
   * @param startupSilenceS seconds after the start in which no answer may be based on the store
   *     alone
   */
  StoreAnswerPolicy(
      ControllerContext context,
      IncarnationHost host,
      StoreIncarnationTracker incarnations,
      IncarnationState state,
      ContentsConfirmation confirmation,
      double startupSilenceS) {
    this.context = context;
    this.host = host;
    this.incarnations = incarnations;
    this.state = state;
    this.confirmation = confirmation;
    this.heartbeatReader = new StoreHeartbeatReader(context);
    this.startedAt = context.clock().now();
    this.startupSilenceS = startupSilenceS;
  }

  /**
   * Whether the end of a job that the store holds may be reported. Ends are final, so one in a
   * store that was rolled back is still correct. A process that was just started cannot detect that
   * the store was rolled back; controllers that were running before detect it within two leader
   * leases.
   */
  public boolean mayReportEndedJobs() {
    return incarnations.isIntact()
        && !state.isBehindHighestEpoch()
        && context.clock().now() - startedAt > startupSilenceS;
  }

  /**
   * Whether a user may be told that a job has not ended or was never accepted, if that was read
   * from the store before this call. This controller may not have seen a later revision than a
   * store that was rolled back shows. The leader has: either this controller receives its
   * heartbeats, or the leader's next heartbeat in the store proves that nothing was lost.
   */
  public Future<Boolean> mayReportUnendedJobs() {
    Future<Boolean> proven =
        host.wouldReceiveLossReport()
            ? Future.succeededFuture(true)
            : heartbeatReader.awaitNext(state.name());
    return proven.map(isProven -> isProven && mayReportEndedJobs());
  }

  /**
   * Whether a job that is neither in the store nor in the base snapshot of its incarnation was
   * never accepted. False if the job may have been accepted before a data loss that was restored
   * incompletely or that no controller has detected yet.
   */
  public boolean mayAnswerNotFound() {
    return !state.baseSnapshot().jobsMissing() && confirmation.isConfirmed();
  }
}
