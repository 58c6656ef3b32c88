package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A key with its value and modification revision.
 *
 * @param value null if the key is absent
 * @param modRevision the revision of the last change of the key; 0 if a read found it absent
 */
public record VersionedEntry(String key, ObjectNode value, long modRevision) {
  /** Returns the entry of an absent key. */
  public static VersionedEntry absent(String key) {
    return new VersionedEntry(key, null, 0);
  }

  /** Whether the key has a value. */
  public boolean present() {
    return value != null;
  }
}
