package io.embernotch.incarnation;

import io.embernotch.context.ControllerContext;
import io.embernotch.store.Transaction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Whether this node may claim leadership on the store's contents as it knows them. Contents that
 * have not reached the epoch of a leader that another controller has heard of were put back: they
 * are lost, whatever incarnation they name.
 */
final class ClaimEligibility {
  private final ControllerContext context;
  private final IncarnationKnowledge knowledge;
  private final BooleanSupplier allPeersHeard;
  private final Consumer<String> dataLost;
  private final double startedAt;
  private boolean verifying;

  /**
   * @param allPeersHeard whether every other controller has been heard from since the start
   * @param dataLost receives why the contents are found to be lost
   */
  ClaimEligibility(
      ControllerContext context,
      IncarnationKnowledge knowledge,
      BooleanSupplier allPeersHeard,
      Consumer<String> dataLost) {
    this.context = context;
    this.knowledge = knowledge;
    this.allPeersHeard = allPeersHeard;
    this.dataLost = dataLost;
    this.startedAt = context.clock().now();
  }

  /** Seconds since this process has started. */
  double upS() {
    return context.clock().now() - startedAt;
  }

  /** Whether the contents, which are believed to be intact, may be led on. */
  boolean mayClaimIntact() {
    if (!knowledge.hasIncarnation()) {
      return mayBeginFirstIncarnation();
    }
    if (knowledge.isBehindLeader()) {
      verifyReached();
      return false;
    }
    return othersHadTimeToTell();
  }

  /**
   * Whether every other controller has been heard from, or could have been: whoever was up before
   * this process tells whether the contents are lost.
   */
  private boolean othersHadTimeToTell() {
    return allPeersHeard.getAsBoolean()
        || upS() > context.settings().workers().heartbeatIntervalS();
  }

  /**
   * Whoever was up before knows whether contents without an incarnation are new or emptied, and has
   * restored emptied ones by the time that is waited for here. A process that was started into
   * emptied contents must not begin a first incarnation there while another still holds all that
   * was lost.
   */
  private boolean mayBeginFirstIncarnation() {
    if (knowledge.isBehind()) {
      if (upS() > context.settings().workers().leaseS() / 2) {
        dataLost.accept("it holds no era, and a later epoch was heard of");
      }
      return false;
    }
    return othersHadTimeToTell();
  }

  /** Whether the contents have reached the epoch is proven by a request that is sent after. */
  private void verifyReached() {
    if (verifying) {
      return;
    }
    verifying = true;
    long named = knowledge.highestLeaderEpoch();
    context
        .store()
        .commit(new Transaction())
        .onComplete(
            compared -> {
              verifying = false;
              if (compared.succeeded() && knowledge.isIntact() && knowledge.isBefore(named)) {
                dataLost.accept(
                    "it has not reached epoch " + named + ", of which a leader was heard");
              }
            });
  }
}
