package io.embernotch.testkit;

import java.util.HashMap;
import java.util.Map;

/** The leases of the store; the keys that are attached to one are deleted with it. */
final class StoreLeases {
  private static final class Lease {
    final double ttlS;
    double expiresAt;

    Lease(double ttlS, double now) {
      this.ttlS = ttlS;
      renew(now);
    }

    void renew(double now) {
      expiresAt = now + ttlS;
    }
  }

  private final FakeTime time;
  private final StoreData data;
  private final Map<Long, Lease> leases = new HashMap<>();
  private long nextId = 1;

  StoreLeases(FakeTime time, StoreData data) {
    this.time = time;
    this.data = data;
  }

  long grant(double ttlS) {
    leases.put(nextId, new Lease(ttlS, time.now()));
    return nextId++;
  }

  boolean exists(long leaseId) {
    return leases.containsKey(leaseId);
  }

  void renew(long leaseId) {
    leases.get(leaseId).renew(time.now());
  }

  void revoke(long leaseId) {
    leases.remove(leaseId);
    data.deleteAttached(leaseId);
  }

  /** Ends the leases whose time is over. */
  void expire() {
    leases
        .entrySet()
        .removeIf(
            lease -> {
              if (lease.getValue().expiresAt > time.now()) {
                return false;
              }
              data.deleteAttached(lease.getKey());
              return true;
            });
  }

  /** Every lease gets its full time again. */
  void renewAll() {
    leases.values().forEach(lease -> lease.renew(time.now()));
  }

  /** Loses all leases, and goes on counting their ids. */
  void clear() {
    leases.clear();
  }

  /** Loses all leases; their ids begin anew. */
  void wipe() {
    leases.clear();
    nextId = 1;
  }
}
