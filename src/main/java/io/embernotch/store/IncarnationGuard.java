package io.embernotch.store;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What tells one incarnation of the store's contents from another.
 *
 * <p>The revision of its contents never falls. So an answer to a request that was sent after some
 * answer had shown revision E shows E at least, in whatever order answers arrive: what shows less
 * comes from contents that were put back or begun anew. Answers to requests from before a loss was
 * noticed say nothing of what there is now, and are nobody's any more.
 *
 * <p>The fence is a key of the present incarnation that every transaction conditions on: revisions
 * may be overtaken, stamps repeat after a loss, the fence does not.
 */
final class IncarnationGuard {
  /** What a request may assume, fixed as it is sent. */
  record Mark(int generation, long least) {}

  /** So many keys are looked for in contents that may have been put back. */
  private static final int WITNESSES = 8;

  private int generation;
  private long highestRevision;
  private final Map<String, Long> written =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > WITNESSES;
        }
      };
  private String fence;
  private long fenceModRevision;

  Mark mark() {
    return new Mark(generation, highestRevision);
  }

  /**
   * False if the contents that the request meant are no more; {@code epoch} is then meaningless.
   */
  boolean isOf(Mark m) {
    return m.generation == generation;
  }

  /** Takes note of a revision that an answer shows; false if that proves a loss. */
  boolean observe(Mark m, long revision) {
    if (revision < m.least) {
      return false;
    }
    highestRevision = Math.max(highestRevision, revision);
    return true;
  }

  /**
   * A transaction that wrote {@code key} was answered: a change raises the revision. False if that
   * proves a loss.
   */
  boolean recordWrite(Mark m, String key, long revision) {
    if (revision <= m.least) {
      return false;
    }
    Long before = written.get(key);
    if (before == null || before < revision) {
      written.put(key, revision);
    }
    return observe(m, revision);
  }

  /** Keys that were written lately, and the stamps that they have at least. */
  Map<String, Long> written() {
    return Map.copyOf(written);
  }

  /** The highest revision seen in this incarnation. */
  long highestRevision() {
    return highestRevision;
  }

  /** All that was known of revisions holds no longer. */
  void discard() {
    generation++;
    highestRevision = 0;
    written.clear();
  }

  void fence(String key, long modRevision) {
    fence = key;
    fenceModRevision = modRevision;
  }

  boolean isFence(String key) {
    return key.equals(fence);
  }

  boolean fenced() {
    return fence != null;
  }

  Transaction guard(Transaction txn) {
    return fence != null && txn.fenced() ? txn.when(fence, fenceModRevision) : txn;
  }
}
