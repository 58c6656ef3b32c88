package io.embernotch.election;

import io.embernotch.actor.Clock;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreException;
import io.embernotch.store.Transaction;
import io.embernotch.store.TransactionResult;
import io.embernotch.store.VersionedEntry;

/**
 * A candidate's claim to the leader key: a lease is granted, the key is written under it on
 * condition that nobody else has changed it, and a claim whose answer is missing is looked up. Each
 * claim ends with one call of its outcome.
 */
final class LeaderClaim {
  /** How a claim ended. */
  interface Outcome {
    /** The key is this node's. */
    void succeeded(Success success);

    /**
     * The key is not this node's, and the lease is given back.
     *
     * @param retryInS seconds after which the key is to be read again
     */
    void failed(double retryInS);
  }

  /**
   * A claim that succeeded.
   *
   * @param leaseId the lease that the key is attached to
   * @param modRevision the key's modification revision
   * @param claim the terms of the claim
   * @param grantSentAt when the request for the lease was sent, by the steady clock
   */
  record Success(long leaseId, long modRevision, Candidacy.Claim claim, double grantSentAt) {}

  private final String node;
  private final StoreClient store;
  private final Clock clock;
  private final Candidacy candidacy;
  private final double leaseTtlS;
  private final double retryS;
  private final VersionedEntry current;
  private final Outcome outcome;

  private long leaseId;
  private Candidacy.Claim claim;
  private double grantSentAt;

  /**
   * @param current the key as it was read: absent, or left from before a loss of data
   * @param retryS seconds to wait after a failure before the key is read again
   */
  LeaderClaim(
      String node,
      StoreClient store,
      Clock clock,
      Candidacy candidacy,
      double leaseTtlS,
      double retryS,
      VersionedEntry current,
      Outcome outcome) {
    this.node = node;
    this.store = store;
    this.clock = clock;
    this.candidacy = candidacy;
    this.leaseTtlS = leaseTtlS;
    this.retryS = retryS;
    this.current = current;
    this.outcome = outcome;
  }

  /** Begins the claim; called once. */
  void start() {
    grantSentAt = clock.now();
    store.grant(leaseTtlS).onSuccess(this::write).onFailure(failure -> outcome.failed(retryS));
  }

  private void write(long grantedLeaseId) {
    leaseId = grantedLeaseId;
    if (!candidacy.mayClaim() || (current.present() && !candidacy.startsNewIncarnation())) {
      store.revoke(leaseId);
      outcome.failed(LeaderElection.IMMEDIATELY_S);
      return;
    }
    Transaction transaction = new Transaction().when(LeaderKey.NAME, current.modRevision());
    claim = candidacy.claim(transaction);
    LeaderKey key = new LeaderKey(node, leaseId, true, claim.incarnation(), claim.epochFloor());
    store
        .commit(transaction.write(LeaderKey.NAME, key.write(), leaseId), RequestPriority.URGENT)
        .onSuccess(this::written)
        .onFailure(this::writeFailed);
  }

  private void written(TransactionResult result) {
    if (!result.applied()) {
      store.revoke(leaseId);
      refused(LeaderElection.IMMEDIATELY_S);
      return;
    }
    // The former holder must not go on proving its lease.
    LeaderKey.read(current).ifPresent(former -> store.revoke(former.leaseId()));
    succeeded(result.revision());
  }

  private void writeFailed(Throwable failure) {
    if (StoreException.kindOf(failure) == StoreException.Kind.UNKNOWN) {
      confirm();
    } else {
      store.revoke(leaseId);
      refused(retryS);
    }
  }

  /** The write was not answered: only the key itself shows whether it was made. */
  private void confirm() {
    store
        .get(LeaderKey.NAME)
        .onSuccess(
            entry -> {
              if (LeaderKey.read(entry).filter(key -> key.leaseId() == leaseId).isPresent()) {
                succeeded(entry.modRevision());
              } else {
                withdraw();
              }
            })
        .onFailure(failure -> withdraw());
  }

  /** Gives the lease back first: with it gone, a late write can no longer be applied. */
  private void withdraw() {
    store.revoke(leaseId).onComplete(revoked -> refused(retryS));
  }

  private void succeeded(long modRevision) {
    outcome.succeeded(new Success(leaseId, modRevision, claim, grantSentAt));
  }

  private void refused(double retryInS) {
    candidacy.claimRefused();
    outcome.failed(retryInS);
  }
}
