package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.http.HttpCaller;
import io.embernotch.settings.Settings;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.vertx.core.Future;

/**
 * Client of the store: reads, watches, transactions and leases, within this controller's share of
 * the store's rate limits. All futures fail with {@link StoreException} only. Not thread-safe:
 * confined to the process's event loop.
 */
public final class StoreClient {
  /**
   * Receives proofs that the store's contents are not the expected incarnation. Called before the
   * future of the request that gave the proof fails.
   */
  public interface LossListener {
    /** Called when a revision fell from {@code seen} to {@code now}, since data is lost. */
    void revisionFell(long seen, long now);

    /** Called when the fence is absent or has another modification revision. */
    void fenceFailed();
  }

  /** Receives each transaction of this controller that the store has applied. */
  @FunctionalInterface
  public interface CommitListener {
    /**
     * Called when a transaction was applied at {@code revision}. The transaction's own future
     * completes only after the returned future, which must not fail.
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

  /** Creates a client with a follower's share of the rate limits and without a fence. */
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

  /** Sets the rate limits to the share of a leader or of a follower. */
  public void setLeading(boolean leading) {
    limits.setLeading(leading);
  }

  /** Sets the loss listener, replacing the previous one. */
  public void setLossListener(LossListener listener) {
    validator.setLossListener(listener);
  }

  /** Sets the commit listener, replacing the previous one. */
  public void setCommitListener(CommitListener listener) {
    transactions.setCommitListener(listener);
  }

  /**
   * Makes this key at this modification revision a condition of every later transaction that is not
   * {@linkplain Transaction#unfenced unfenced}.
   */
  public void setFence(String key, long modRevision) {
    guard.setFence(key, modRevision);
  }

  /** Discards all revisions seen, after a loss of data; requests in flight will fail. */
  public void discardIncarnation() {
    guard.discard();
  }

  /** Records that another controller wrote this key at this revision. */
  public void recordRemoteWrite(String key, long revision) {
    guard.recordWrite(IncarnationGuard.Baseline.NONE, key, revision);
  }

  /** Records that another controller has seen this revision. */
  public void recordRemoteRevision(long revision) {
    guard.observe(IncarnationGuard.Baseline.NONE, revision);
  }

  /** The highest revision seen since the last loss of data. */
  public long highestRevisionSeen() {
    return guard.highestRevision();
  }

  /**
   * When the store last answered with anything but 429 or 503, in seconds of the monotonic clock.
   */
  public double answeredAt() {
    return transport.answeredAt();
  }

  /** Seconds since requests began to fail or get a 503; 0 if the last answer was usable. */
  public double failingForS() {
    return transport.failingForS();
  }

  /** Reads a key; completes with an entry without a value if the key is absent. */
  public Future<VersionedEntry> get(String key) {
    return entries.get(key);
  }

  /**
   * Like {@link #get}, but reports a key as absent only after a check that the fence still holds.
   * Without it, contents of another incarnation may pass unnoticed once their revision has reached
   * the highest one that this controller has seen.
   */
  public Future<VersionedEntry> getConfirmed(String key) {
    return verifier.getConfirmed(key);
  }

  /** Reads all entries under a prefix; the result has the revision of the first page. */
  public Future<WatchEvents> list(String prefix) {
    return entries.list(prefix);
  }

  /**
   * Passes all entries under a prefix to {@code sink}, page by page, at background priority.
   *
   * @return the revision of the first page; later changes may be missing
   */
  public Future<Long> forEachPage(String prefix, PageSink sink) {
    return entries.forEachPage(prefix, RequestPriority.BACKGROUND, sink);
  }

  /**
   * Reads one page of the entries under a prefix.
   *
   * @param after the key that the page begins after; null for the first page
   * @param sink receives the entries only if they were requested before a loss of data
   */
  public Future<EntryPage> readPage(
      String prefix, String after, RequestPriority priority, PageSink sink) {
    return entries.readPage(prefix, after, priority, sink);
  }

  /** Commits a transaction at normal priority. */
  public Future<TransactionResult> commit(Transaction transaction) {
    return commit(transaction, RequestPriority.NORMAL);
  }

  /**
   * Commits a transaction. After a failure of kind {@code UNKNOWN}, the store may have applied it
   * or may yet apply it.
   */
  public Future<TransactionResult> commit(Transaction transaction, RequestPriority priority) {
    return transactions.commit(transaction, priority);
  }

  /**
   * Verifies that the store still holds the last writes known to this controller, and the fence.
   *
   * @param key a key that changes whenever another controller may have written
   * @param modRevision the expected modification revision of {@code key}
   * @return whether {@code key} is unchanged; fails with kind {@code LOST} if data is lost
   */
  public Future<Boolean> verifyUnchanged(String key, long modRevision) {
    return verifier.verifyUnchanged(key, modRevision);
  }

  /**
   * Runs {@code write} when the rate limit allows {@code minChanges} changes. The caller selects
   * the changes only then, so that more urgent ones that arrive meanwhile go first. {@code write}
   * must end with {@link #releaseWriteSlot}.
   */
  public void requestWriteSlot(int minChanges, RequestPriority priority, Runnable write) {
    limits.acquireWrites(minChanges, priority, write);
  }

  /** Number of changes that may be made now in addition to those granted by a write slot. */
  public double writeCredit() {
    return limits.writeCredit();
  }

  /** Seconds that a change of normal priority would wait if requested now. */
  public double writeWaitS() {
    return limits.writeWaitS();
  }

  /** Seconds that a read of normal priority would wait if requested now. */
  public double readWaitS() {
    return limits.readWaitS();
  }

  /** Whether at least half of a leader's burst of changes is available. */
  public boolean hasSpareWrites() {
    return limits.hasSpareWrites();
  }

  /** Ends a write slot with {@code minChanges} granted changes, of which {@code made} were used. */
  public void releaseWriteSlot(int minChanges, int made) {
    limits.refundWrites(minChanges - made);
  }

  /** Commits a transaction whose changes are already counted by a write slot. */
  public Future<TransactionResult> commitInWriteSlot(
      Transaction transaction, RequestPriority priority) {
    return transactions.commitInWriteSlot(transaction, priority);
  }

  /** Requests a lease with a time to live of {@code leaseTtlS} seconds; returns its id. */
  public Future<Long> grantLease(double leaseTtlS) {
    return leases.grant(leaseTtlS);
  }

  /** Renews a lease; completes with false if the store has no such lease. */
  public Future<Boolean> renewLeaseIfPresent(long leaseId) {
    return leases.renewIfPresent(leaseId);
  }

  /** Revokes a lease, which deletes the keys that were written with it. */
  public Future<Void> revokeLease(long leaseId) {
    return leases.revoke(leaseId);
  }

  /**
   * Waits until an entry under the prefix changes after {@code revision}, at most {@code longPollS}
   * seconds. Fails with kind {@code TOO_OLD} if the store no longer keeps these changes.
   */
  public Future<WatchEvents> watch(String prefix, long revision, double longPollS) {
    return watch.poll(prefix, revision, longPollS);
  }
}
