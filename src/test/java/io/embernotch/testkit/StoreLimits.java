package io.embernotch.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;

/** The limits on transactions: their size, and a token bucket for the rate of changes. */
final class StoreLimits {
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
  private static final int CONDITIONS_PER_OPERATION = 4;

  private final FakeTime time;
  private int maxValueBytes = 8 * 1024;
  private int maxOperations = 12;
  private double maxChangesPerS = 100;
  private double credit;
  private double creditAt;

  StoreLimits(FakeTime time) {
    this.time = time;
  }

  void set(int valueBytes, int operations, double changesPerS) {
    maxValueBytes = valueBytes;
    maxOperations = operations;
    maxChangesPerS = changesPerS;
  }

  int maxOperations() {
    return maxOperations;
  }

  void setMaxOperations(int operations) {
    maxOperations = operations;
  }

  void setMaxChangesPerS(double changesPerS) {
    maxChangesPerS = changesPerS;
  }

  /** Whether a transaction, or a value in it, is larger than allowed. */
  boolean isOversized(ObjectNode transaction) {
    if (transaction.path("apply").size() > maxOperations
        || transaction.get("when").size() > CONDITIONS_PER_OPERATION * maxOperations
        || Json.bytes(transaction).length > MAX_TRANSACTION_BYTES) {
      return true;
    }
    for (JsonNode change : transaction.path("apply")) {
      if (change.has("write") && Json.bytes(change.get("v")).length > maxValueBytes) {
        return true;
      }
    }
    return false;
  }

  /** Takes credit for so many changes; false, and none taken, if there is not enough. */
  boolean tryTake(int changes) {
    credit = Math.min(maxChangesPerS, credit + (time.now() - creditAt) * maxChangesPerS);
    creditAt = time.now();
    if (credit < changes) {
      return false;
    }
    credit -= changes;
    return true;
  }
}
