package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A key with its value, or with null and modification revision 0 if it is absent. */
public record VersionedEntry(String key, ObjectNode value, long modRevision) {
  public boolean present() {
    return value != null;
  }
}
