package io.embernotch.election;

import io.embernotch.actor.Clock;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreException;
import io.embernotch.store.Transaction;
import io.embernotch.store.TransactionResult;
import io.embernotch.store.VersionedEntry;

/**
 * A candidate's claim to the leader key. It is granted a lease, and writes the key under that lease
 * on condition that the key has not changed since it was read. If the write is not answered, the
 * claim reads the key to learn whether it was applied. Each claim calls its outcome exactly once.
 */
final class LeaderClaim {
  /** Receives the result of a claim. */
  interface Outcome {
    /** This controller holds the key. */
    void succeeded(Success success);

    /**
     * This controller does not hold the key. The lease of the claim, if one was granted, is being
     * revoked.
     *
     * @param retryAfterS seconds after which the key is to be read again
     */
    void failed(double retryAfterS);
  }

  /**
   * The result of a successful claim.
   *
   * @param leaseId id of the lease that the key is attached to
   * @param modRevision modification revision of the key
   * @param claim terms of the claim
   * @param grantSentAt when the lease was requested, in seconds of the monotonic clock
   */
  record Success(long leaseId, long modRevision, Candidacy.Claim claim, double grantSentAt) {}

  private final String node;
  private final StoreClient store;
  private final Clock clock;
  private final Candidacy candidacy;
  private final double leaseTtlS;
  private final double retryDelayS;
  private final VersionedEntry current;
  private final Outcome outcome;

  private long leaseId;
  private Candidacy.Claim claim;
  private double grantSentAt;

  /**
   * @param retryDelayS seconds after which the key is to be read again if a request has failed
   * @param current the key as it was read: absent, or left from before a data loss
   * @param outcome receives the result
   */
  LeaderClaim(
      String node,
      StoreClient store,
      Clock clock,
      Candidacy candidacy,
      double leaseTtlS,
      double retryDelayS,
      VersionedEntry current,
      Outcome outcome) {
    this.node = node;
    this.store = store;
    this.clock = clock;
    this.candidacy = candidacy;
    this.leaseTtlS = leaseTtlS;
    this.retryDelayS = retryDelayS;
    this.current = current;
    this.outcome = outcome;
  }

  /** Starts the claim. To be called once. */
  void start() {
    grantSentAt = clock.now();
    store
        .grantLease(leaseTtlS)
        .onSuccess(this::write)
        .onFailure(failure -> outcome.failed(retryDelayS));
  }

  private void write(long grantedLeaseId) {
    leaseId = grantedLeaseId;
    if (!candidacy.mayClaim() || (current.present() && !candidacy.startsNewIncarnation())) {
      store.revokeLease(leaseId);
      outcome.failed(LeaderElection.NEXT_ITERATION_S);
      return;
    }
    Transaction transaction = new Transaction().when(LeaderKey.NAME, current.modRevision());
    claim = candidacy.claim(transaction);
    LeaderKey key = new LeaderKey(node, leaseId, true, claim.incarnation(), claim.epochFloor());
    store
        .commit(transaction.write(LeaderKey.NAME, key.write(), leaseId), RequestPriority.URGENT)
        .onSuccess(this::writeAnswered)
        .onFailure(this::writeFailed);
  }

  private void writeAnswered(TransactionResult result) {
    if (!result.applied()) {
      store.revokeLease(leaseId);
      claimFailed(LeaderElection.NEXT_ITERATION_S);
      return;
    }
    // Revoking the former leader's lease prevents that leader from renewing it.
    LeaderKey.read(current).ifPresent(former -> store.revokeLease(former.leaseId()));
    succeeded(result.revision());
  }

  private void writeFailed(Throwable failure) {
    if (StoreException.kindOf(failure) == StoreException.Kind.UNKNOWN) {
      readBack();
    } else {
      store.revokeLease(leaseId);
      claimFailed(retryDelayS);
    }
  }

  /** Reads the key after a write without an answer: only the key shows whether it was applied. */
  private void readBack() {
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

  /** Revokes the lease before the claim fails: once it has ended, a late write can't be applied. */
  private void withdraw() {
    store.revokeLease(leaseId).onComplete(revoked -> claimFailed(retryDelayS));
  }

  private void succeeded(long modRevision) {
    outcome.succeeded(new Success(leaseId, modRevision, claim, grantSentAt));
  }

  private void claimFailed(double retryAfterS) {
    candidacy.claimFailed();
    outcome.failed(retryAfterS);
  }
}
