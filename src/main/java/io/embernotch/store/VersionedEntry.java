package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A key with its value.
 *
 * @param value null if the key is absent
 * @param modRevision the revision that last wrote the key; 0 if it is absent
 */
public record VersionedEntry(String key, ObjectNode value, long modRevision) {
  /** The entry of a key that is not there. */
  public static VersionedEntry absent(String key) {
    return new VersionedEntry(key, null, 0);
  }

  /** Whether the key is there. */
  public boolean present() {
    return value != null;
  }
}
