package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.http.HttpCaller;
import io.embernotch.settings.Settings;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.vertx.core.Future;

/**
 * The store as the rest of the process sees it: reads, watches, transactions and leases, all within
 * this controller's share of the store's rate limits. Futures fail with {@link StoreException}
 * only. Owned by the process's event loop.
 */
public final class StoreClient {
  /**
   * Receives what shows that the store's contents are not the ones that we knew. Called before the
   * future of the request that showed it fails.
   */
  public interface LossListener {
    /** The revision fell from {@code seen} to {@code now}: data is lost. */
    void revisionFell(long seen, long now);

    /** The key of our incarnation is not there as we know it. */
    void fenceFailed();
  }

  /** Is told of each transaction of this controller that the store has applied. */
  @FunctionalInterface
  public interface CommitListener {
    /**
     * A transaction was applied at this revision. Whoever sent it learns of that only once the
     * future that is returned has completed; it must not fail.
     */
    Future<Void> committed(Transaction transaction, long revision);
  }

  private final IncarnationGuard guard = new IncarnationGuard();
  private final IncarnationValidator validator = new IncarnationValidator(guard);
  private final StoreRateLimits limits;
  private final StoreTransport transport;
  private final EntryReader entries;
  private final TransactionSender transactions;
  private final WriteVerifier verifier;
  private final LeaseClient leases;
  private final StoreWatch watch;

  /** A client with a follower's share of the limits, which has not seen any contents yet. */
  public StoreClient(HttpCaller caller, Clock clock, Timers timers, Settings settings) {
    double timeoutS = settings.workers().heartbeatIntervalS() / 2;
    this.limits = new StoreRateLimits(clock, timers, settings);
    this.transport =
        new StoreTransport(caller, clock, timers, settings.storeAddress(), limits, guard);
    this.entries = new EntryReader(transport, validator, guard, clock, timeoutS);
    this.transactions = new TransactionSender(transport, guard, validator, timeoutS);
    this.verifier = new WriteVerifier(guard, validator, entries, transactions);
    this.leases = new LeaseClient(transport, timeoutS);
    this.watch = new StoreWatch(transport, validator, timeoutS);
  }

  /** This controller is leader from now on, or no longer; sets its share of the limits. */
  public void setLeading(boolean leading) {
    limits.setLeading(leading);
  }

  /** Replaces the listener, of which there is one at most. */
  public void setLossListener(LossListener listener) {
    validator.setLossListener(listener);
  }

  /** Replaces the listener of commits, of which there is one at most. */
  public void setCommitListener(CommitListener listener) {
    transactions.setCommitListener(listener);
  }

  /**
   * Every transaction conditions on this key from now on, unless it is {@linkplain
   * Transaction#unfenced unfenced}.
   */
  public void setFence(String key, long modRevision) {
    guard.setFence(key, modRevision);
  }

  /** The contents that were known are gone: requests that were sent before this fail. */
  public void discardIncarnation() {
    guard.discard();
  }

  /** Another controller wrote this key at this revision of the present contents. */
  public void noteRevision(String key, long revision) {
    guard.recordWrite(IncarnationGuard.Baseline.NONE, key, revision);
  }

  /** Another controller has seen the present contents reach this revision. */
  public void noteRevision(long revision) {
    guard.observe(IncarnationGuard.Baseline.NONE, revision);
  }

  /** The highest revision seen since the last loss. */
  public long highestRevisionSeen() {
    return guard.highestRevision();
  }

  /** When the store last answered anything but a refusal, in seconds of the steady clock. */
  public double answeredAt() {
    return transport.answeredAt();
  }

  /** Seconds for which it has refused or not answered, 0 if its last answer was good. */
  public double failingForS() {
    return transport.failingForS();
  }

  /** Reads a key; an entry without a value if it is absent. */
  public Future<VersionedEntry> get(String key) {
    return entries.get(key);
  }

  /**
   * Like {@link #get}; that a key is absent is said only if our incarnation still stands after it
   * was looked for. New contents may have overtaken the revisions that this node has seen.
   */
  public Future<VersionedEntry> getConfirmed(String key) {
    return verifier.getConfirmed(key);
  }

  /** Everything under a prefix, page by page, and the revision of the first page. */
  public Future<WatchEvents> list(String prefix) {
    return entries.list(prefix);
  }

  /**
   * Passes everything under a prefix to {@code sink}, page by page, in the background.
   *
   * @return the revision of the first page: what has changed since may be missing
   */
  public Future<Long> forEachPage(String prefix, PageSink sink) {
    return entries.forEachPage(prefix, RequestPriority.BACKGROUND, sink);
  }

  /** Commits a transaction at normal priority. */
  public Future<TransactionResult> commit(Transaction transaction) {
    return commit(transaction, RequestPriority.NORMAL);
  }

  /** Commits a transaction. A failure of kind {@code UNKNOWN} leaves open whether it applies. */
  public Future<TransactionResult> commit(Transaction transaction, RequestPriority priority) {
    return transactions.commit(transaction, priority);
  }

  /**
   * Verifies that what was written lately, as far as we know, is still there, along with our
   * incarnation.
   *
   * @param key a key that tells whether anybody else may have written since: it is there at {@code
   *     modRevision}
   * @return whether that key is as it was; fails if data is lost
   */
  public Future<Boolean> verifyUnchanged(String key, long modRevision) {
    return verifier.verifyUnchanged(key, modRevision);
  }

  /**
   * Runs {@code write} when {@code minChanges} changes may be made. What is written is decided only
   * then, so that what has become urgent meanwhile goes first. It must end with {@link
   * #releaseWriteSlot}.
   */
  public void requestWriteSlot(int minChanges, RequestPriority priority, Runnable write) {
    limits.acquireWrites(minChanges, priority, write);
  }

  /** Changes that may be made now beyond those that a write slot grants. */
  public double writeCredit() {
    return limits.writeCredit();
  }

  /** Seconds that a change of normal priority would wait. */
  public double writeWaitS() {
    return limits.writeWaitS();
  }

  /** Seconds that a read of normal priority would wait. */
  public double readWaitS() {
    return limits.readWaitS();
  }

  /** Whether half a burst of changes or more may be made at once. */
  public boolean hasSpareWrites() {
    return limits.hasSpareWrites();
  }

  /** Ends a write slot that was granted {@code minChanges} changes and made {@code made}. */
  public void releaseWriteSlot(int minChanges, int made) {
    limits.refundWrites(minChanges - made);
  }

  /** Commits a transaction whose changes are accounted for by a write slot. */
  public Future<TransactionResult> commitInWriteSlot(
      Transaction transaction, RequestPriority priority) {
    return transactions.commitInWriteSlot(transaction, priority);
  }

  /** Grants a lease of so many seconds; returns its id. */
  public Future<Long> grant(double leaseTtlS) {
    return leases.grant(leaseTtlS);
  }

  /** Whether a lease exists; if so, it is renewed by this. */
  public Future<Boolean> renewIfPresent(long leaseId) {
    return leases.renewIfPresent(leaseId);
  }

  /** Ends a lease, and with it the keys that were written under it. */
  public Future<Void> revoke(long leaseId) {
    return leases.revoke(leaseId);
  }

  /**
   * Waits until something under the prefix has changed after {@code revision}, or {@code longPollS}
   * seconds have passed. Fails with kind {@code TOO_OLD} if the changes are no longer kept.
   */
  public Future<WatchEvents> watch(String prefix, long revision, double longPollS) {
    return watch.poll(prefix, revision, longPollS);
  }
}
