package io.embernotch.incarnation;

import io.embernotch.context.ControllerContext;
import io.vertx.core.Future;

/** What may be told to users from the store alone, which may have lost data unnoticed. */
public final class StoreAnswerPolicy {
  private final ControllerContext context;
  private final IncarnationHost host;
  private final StoreIncarnationTracker incarnations;
  private final IncarnationKnowledge knowledge;
  private final ContentsConfirmation confirmation;
  private final StoreHeartbeatReader leaderHeartbeats;
  private final double startedAt;
  private final double silentS;

  /**
   * @param silentS seconds after the start for which nothing is told from the store alone
   */
  StoreAnswerPolicy(
      ControllerContext context,
      IncarnationHost host,
      StoreIncarnationTracker incarnations,
      IncarnationKnowledge knowledge,
      ContentsConfirmation confirmation,
      double silentS) {
    this.context = context;
    this.host = host;
    this.incarnations = incarnations;
    this.knowledge = knowledge;
    this.confirmation = confirmation;
    this.leaderHeartbeats = new StoreHeartbeatReader(context);
    this.startedAt = context.clock().now();
    this.silentS = silentS;
  }

  /**
   * Whether an end that the store holds may be told: ends are final, so also one in contents that
   * were put back is true. A process that was just started can't tell contents that were restored
   * from an earlier moment from present ones; after two leases whoever was up before has found that
   * out.
   */
  public boolean mayTellEnds() {
    return incarnations.isIntact()
        && !knowledge.isBehind()
        && context.clock().now() - startedAt > silentS;
  }

  /**
   * Whether it may be told that a job has not ended, or was never accepted, as the store alone said
   * it before this call. This controller may have seen no later revision than contents that were
   * put back show; the leader has, and is heard, or shows by its next heartbeat in the store.
   */
  public Future<Boolean> mayTellUnended() {
    Future<Boolean> proven =
        host.wouldHearOfLoss()
            ? Future.succeededFuture(true)
            : leaderHeartbeats.next(knowledge.name());
    return proven.map(isProven -> isProven && mayTellEnds());
  }

  /**
   * Whether a job that neither the store nor the snapshot of its incarnation holds was never
   * accepted. False if it may have been accepted before a loss of which nobody knew all, or nobody
   * may know yet.
   */
  public boolean mayDenyJobs() {
    return !knowledge.baseSnapshot().jobsMissing() && confirmation.isConfirmed();
  }
}
