package io.embernotch.store;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Distinguishes the incarnations of the store's contents, to detect lost data.
 *
 * <p>Within an incarnation the revision never decreases. If a request is sent after an answer with
 * revision E, its own answer must have at least revision E, in whatever order answers arrive. A
 * lower revision proves that the contents were restored from an earlier state or started empty.
 * Answers to requests that were sent before a loss was detected are ignored.
 *
 * <p>The fence is a key of the present incarnation; every transaction is conditional on it. After a
 * loss, the new contents may reach the revisions seen before and repeat modification revisions, but
 * they do not contain the same fence.
 */
final class IncarnationGuard {
  /**
   * What is known of the store's contents when a request is sent.
   *
   * @param generation number of losses detected so far
   * @param minRevision lowest revision that the answer may have unless data is lost
   */
  record Baseline(int generation, long minRevision) {
    /** Baseline without a minimum: no revision proves a loss. */
    static final Baseline NONE = new Baseline(0, 0);
  }

  /** Number of last written keys that are remembered and checked after a suspected loss. */
  private static final int MAX_LAST_WRITES = 8;

  private int generation;
  private long highestRevision;

  /** The last written keys, with lower bounds of their modification revisions. */
  private final Map<String, Long> lastWrites =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_LAST_WRITES;
        }
      };

  /** The fence's key; null until it is set. */
  private String fence;

  private long fenceModRevision;

  /** Returns the baseline of a request that is sent now. */
  Baseline baseline() {
    return new Baseline(generation, highestRevision);
  }

  /**
   * Whether no loss was detected since the request was sent. If false, the revision in its answer
   * must not be used.
   */
  boolean isCurrent(Baseline baseline) {
    return baseline.generation == generation;
  }

  /** Records the revision in an answer; returns false if it proves a loss. */
  boolean observe(Baseline baseline, long revision) {
    if (revision < baseline.minRevision) {
      return false;
    }
    highestRevision = Math.max(highestRevision, revision);
    return true;
  }

  /**
   * Records an applied transaction that wrote {@code key}. Since a write increases the revision,
   * returns false, for a loss, if {@code revision} is not above the baseline's minimum.
   */
  boolean recordWrite(Baseline baseline, String key, long revision) {
    if (revision <= baseline.minRevision) {
      return false;
    }
    Long before = lastWrites.get(key);
    if (before == null || before < revision) {
      lastWrites.put(key, revision);
    }
    return observe(baseline, revision);
  }

  /** Returns the last written keys, with lower bounds of their modification revisions. */
  Map<String, Long> lastWrites() {
    return Collections.unmodifiableMap(new TreeMap<>(lastWrites));
  }

  /** The highest revision seen in this incarnation. */
  long highestRevision() {
    return highestRevision;
  }

  /** Discards all revisions after a loss; keeps the fence until the next one is set. */
  void discard() {
    generation++;
    highestRevision = 0;
    lastWrites.clear();
  }

  /** Sets the key whose modification revision is a condition of every transaction. */
  void setFence(String key, long modRevision) {
    fence = key;
    fenceModRevision = modRevision;
  }

  /** The fence's key; null if none is set. */
  String fence() {
    return fence;
  }

  boolean isFence(String key) {
    return key.equals(fence);
  }

  /** Whether a fence has been set. */
  boolean hasFence() {
    return fence != null;
  }

  /** Adds the fence, if one is set, to the conditions of a transaction unless it is unfenced. */
  void addFence(Transaction transaction) {
    if (fence != null && transaction.fenced()) {
      transaction.when(fence, fenceModRevision);
    }
  }
}
