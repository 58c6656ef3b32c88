package io.embernotch.store;

import io.embernotch.store.RateLimiter.RequestPriority;
import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;

/**
 * Verifies that the store still holds the last writes known to this controller. Contents that were
 * restored from an earlier state may since have reached the highest revision seen, but they lack
 * the last writes.
 */
final class WriteVerifier {
  private final IncarnationGuard guard;
  private final IncarnationValidator validator;
  private final EntryReader entries;
  private final TransactionSender transactions;

  WriteVerifier(
      IncarnationGuard guard,
      IncarnationValidator validator,
      EntryReader entries,
      TransactionSender transactions) {
    this.guard = guard;
    this.validator = validator;
    this.entries = entries;
    this.transactions = transactions;
  }

  /** Reads a key; if it is absent, also checks that the incarnation's fence still holds. */
  Future<VersionedEntry> getConfirmed(String key) {
    return entries
        .get(key)
        .compose(
            entry ->
                entry.present() || !guard.hasFence()
                    ? Future.succeededFuture(entry)
                    : transactions
                        .commit(new Transaction(), RequestPriority.NORMAL)
                        .map(result -> entry));
  }

  /** See {@link StoreClient#verifyUnchanged}. */
  Future<Boolean> verifyUnchanged(String key, long modRevision) {
    Map<String, Long> written = new HashMap<>(guard.lastWrites());
    written.remove(key);
    Transaction comparison = new Transaction().when(key, modRevision);
    written.forEach(comparison::when);
    return transactions
        .commit(comparison, RequestPriority.NORMAL)
        .compose(
            result -> {
              if (result.applied() || result.conflicts().contains(key)) {
                return Future.succeededFuture(result.applied());
              }
              return Future.all(
                      result.conflicts().stream()
                          .map(conflict -> verifyAtLeast(conflict, written.get(conflict)))
                          .toList())
                  .map(true);
            });
  }

  /**
   * Checks that a key has at least this modification revision. A write that is not answered yet may
   * have increased it; only a loss decreases it.
   */
  private Future<Boolean> verifyAtLeast(String key, long modRevision) {
    return entries
        .get(key)
        .compose(
            entry ->
                entry.present() && entry.modRevision() >= modRevision
                    ? Future.succeededFuture(true)
                    : validator.reportLostEntry(key, modRevision, entry.modRevision()));
  }
}
