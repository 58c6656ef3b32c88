package io.embernotch.incarnation;

import io.embernotch.context.ControllerContext;
import io.embernotch.store.Transaction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Decides whether this node may claim leadership while it considers the store's contents intact. If
 * the contents have not reached an epoch that another controller reports for a leader, the store
 * was rolled back and data is lost, whichever incarnation the store names.
 */
final class ClaimEligibility {
  private final ControllerContext context;
  private final IncarnationState state;
  private final BooleanSupplier allPeersSeen;
  private final Consumer<String> dataLost;
  private final double startedAt;
  private boolean verificationPending;

  /**
   * @param allPeersSeen whether every other controller has sent a heartbeat since the start
   * @param dataLost receives the reason when data loss is detected
   */
  ClaimEligibility(
      ControllerContext context,
      IncarnationState state,
      BooleanSupplier allPeersSeen,
      Consumer<String> dataLost) {
    this.context = context;
    this.state = state;
    this.allPeersSeen = allPeersSeen;
    this.dataLost = dataLost;
    this.startedAt = context.clock().now();
  }

  /** Seconds since this process was started. */
  double uptimeS() {
    return context.clock().now() - startedAt;
  }

  /** Whether this node may claim leadership of contents that it considers intact. */
  boolean mayClaimIntact() {
    if (!state.hasIncarnation()) {
      return mayBeginFirstIncarnation();
    }
    if (state.isBehindReportedLeader()) {
      verifyLeaderEpochReached();
      return false;
    }
    return othersHadTimeToReportLoss();
  }

  /**
   * Whether every other controller has sent a heartbeat or has had the time to send one. A
   * controller that was running before this process reports a data loss in its heartbeats.
   */
  private boolean othersHadTimeToReportLoss() {
    return allPeersSeen.getAsBoolean()
        || uptimeS() > context.settings().workers().heartbeatIntervalS();
  }

  /**
   * Whether this node may begin the first incarnation. A store without an incarnation is either new
   * or has lost everything. Controllers that were running before know which, and restore a store
   * that has lost everything within half a worker lease. Until then a process that was started
   * after the loss must not begin an incarnation: another controller may still hold the lost data.
   * If the contents are still behind an observed epoch after that time, data is lost.
   */
  private boolean mayBeginFirstIncarnation() {
    if (state.isBehindHighestEpoch()) {
      if (uptimeS() > context.settings().workers().leaseS() / 2) {
        dataLost.accept("it has no incarnation, but a later epoch was observed");
      }
      return false;
    }
    return othersHadTimeToReportLoss();
  }

  /**
   * Sends a request whose answer shows the store's present revision, and reports data loss if the
   * contents have still not reached the epoch of the leader.
   */
  private void verifyLeaderEpochReached() {
    if (verificationPending) {
      return;
    }
    verificationPending = true;
    long leaderEpoch = state.highestLeaderEpoch();
    context
        .store()
        .commit(new Transaction())
        .onComplete(
            result -> {
              verificationPending = false;
              if (result.succeeded() && state.isIntact() && state.isBehindEpoch(leaderEpoch)) {
                dataLost.accept(
                    "it has not reached epoch " + leaderEpoch + " of a leader that was reported");
              }
            });
  }
}
