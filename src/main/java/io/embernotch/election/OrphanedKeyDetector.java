package io.embernotch.election;

import io.embernotch.actor.Clock;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;

/**
 * Detects a leader key that still exists although its lease has ended. The store would never delete
 * such a key, and no controller could ever lead. If the holder of an unchanged key has not been
 * live for several lease times, the detector looks its lease up. If the key names this controller,
 * and still exists after this controller has revoked its lease, it is orphaned as well.
 */
final class OrphanedKeyDetector {
  /**
   * Number of lease times for which the holder of an unchanged key must be unresponsive before its
   * lease is looked up.
   */
  private static final int UNRESPONSIVE_LEASE_TIMES = 4;

  /** Value of {@link #revokedModRevision} while this controller has revoked no lease of its key. */
  private static final long NO_REVISION = -1;

  private final StoreClient store;
  private final Clock clock;
  private final Candidacy candidacy;
  private final PeerLiveness peerLiveness;
  private final double unresponsiveTimeoutS;
  private long observedModRevision;
  private double unresponsiveSince;
  private long revokedModRevision = NO_REVISION;

  OrphanedKeyDetector(
      StoreClient store,
      Clock clock,
      Candidacy candidacy,
      PeerLiveness peerLiveness,
      double leaseTtlS) {
    this.store = store;
    this.clock = clock;
    this.candidacy = candidacy;
    this.peerLiveness = peerLiveness;
    this.unresponsiveTimeoutS = UNRESPONSIVE_LEASE_TIMES * leaseTtlS;
  }

  /** Processes a key that was just read and names another controller. */
  void observeOtherKey(VersionedEntry entry, LeaderKey key) {
    double now = clock.now();
    if (entry.modRevision() != observedModRevision || peerLiveness.isLive(key.node())) {
      observedModRevision = entry.modRevision();
      unresponsiveSince = now;
    } else if (now - unresponsiveSince > unresponsiveTimeoutS) {
      unresponsiveSince = now;
      store
          .renewLeaseIfPresent(key.leaseId())
          .onSuccess(
              leasePresent -> {
                if (!leasePresent) {
                  candidacy.leaderKeyOrphaned(key.node());
                }
              });
    }
  }

  /** Records that the lease of this controller's own key, with this revision, was revoked. */
  void leaseRevoked(long modRevision) {
    revokedModRevision = modRevision;
  }

  /**
   * Processes a key that was just read and names this controller. If its lease was revoked before,
   * the key is attached to no lease.
   */
  void observeOwnKey(VersionedEntry entry, String node) {
    if (entry.modRevision() == revokedModRevision) {
      candidacy.leaderKeyOrphaned(node);
    }
  }
}
