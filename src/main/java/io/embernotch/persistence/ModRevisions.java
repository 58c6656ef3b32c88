package io.embernotch.persistence;

import io.embernotch.actor.Timers;
import io.embernotch.store.StoreClient;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** The last known modification revisions of the shards' keys. */
final class ModRevisions {
  /** Modification revision of an absent key. */
  private static final long ABSENT = 0;

  private final StoreClient store;
  private final Timers timers;
  private final double retryS;
  private final BooleanSupplier closed;
  private final Map<String, Long> modRevisions = new HashMap<>();

  /**
   * @param retryS seconds before a failed read is retried
   * @param closed whether the writer is closed; reading stops then
   */
  ModRevisions(StoreClient store, Timers timers, double retryS, BooleanSupplier closed) {
    this.store = store;
    this.timers = timers;
    this.retryS = retryS;
    this.closed = closed;
  }

  long get(String key) {
    return modRevisions.getOrDefault(key, ABSENT);
  }

  void record(String key, long modRevision) {
    modRevisions.put(key, modRevision);
  }

  /** Reads the keys one by one, retrying failed reads, and then runs {@code done}. */
  void reread(Collection<String> keys, Runnable done) {
    rereadFrom(List.copyOf(keys), 0, done);
  }

  private void rereadFrom(List<String> keys, int index, Runnable done) {
    if (closed.getAsBoolean()) {
      return;
    }
    if (index == keys.size()) {
      done.run();
      return;
    }
    String key = keys.get(index);
    store
        .get(key)
        .onSuccess(
            entry -> {
              record(key, entry.modRevision());
              rereadFrom(keys, index + 1, done);
            })
        .onFailure(failure -> timers.after(retryS, () -> rereadFrom(keys, index, done)));
  }
}
