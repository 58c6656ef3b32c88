package io.embernotch.incarnation;

import io.embernotch.model.StoreIncarnation;

/**
 * The key that points to the current incarnation, as it was last read or written.
 *
 * @param modRevision modification revision of the key; 0 if the key was absent
 * @param incarnation the current incarnation; null if the key was absent or its value malformed
 */
record StoredPointer(long modRevision, StoreIncarnation incarnation) {
  static final StoredPointer ABSENT = new StoredPointer(0, null);

  boolean isPresent() {
    return incarnation != null;
  }
}
