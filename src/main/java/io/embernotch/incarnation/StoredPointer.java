package io.embernotch.incarnation;

import io.embernotch.model.StoreIncarnation;

/**
 * The pointer to the present incarnation, as it was last read or written.
 *
 * @param modRevision its key's modification revision; 0 if the key was absent
 * @param incarnation what it names; null if the key was absent or could not be read
 */
record StoredPointer(long modRevision, StoreIncarnation incarnation) {
  static final StoredPointer ABSENT = new StoredPointer(0, null);

  boolean isPresent() {
    return incarnation != null;
  }
}
