package io.embernotch.election;

import io.embernotch.actor.Clock;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;

/**
 * Finds a leader key whose lease is gone without it. Such a key would never be dropped, and nobody
 * could ever lead. So when its holder has not been live for far longer than its lease lasts, or the
 * lease was revoked here, the lease is looked up.
 */
final class OrphanedKeyDetector {
  /**
   * Lease times that the holder of an unchanged key must be unresponsive before its lease is
   * checked.
   */
  private static final int UNRESPONSIVE_LEASES = 4;

  /** In place of a modification revision: none of this node's leases has been revoked. */
  private static final long NONE_REVOKED = -1;

  private final StoreClient store;
  private final Clock clock;
  private final Candidacy candidacy;
  private final PeerLiveness peerLiveness;
  private final double unresponsiveS;
  private long watchedModRevision;
  private double watchedSince;
  private long revokedModRevision = NONE_REVOKED;

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
    this.unresponsiveS = UNRESPONSIVE_LEASES * leaseTtlS;
  }

  /** The key, read just now, names another controller as leader. */
  void observe(VersionedEntry entry, LeaderKey key) {
    double now = clock.now();
    if (entry.modRevision() != watchedModRevision || peerLiveness.isLive(key.node())) {
      watchedModRevision = entry.modRevision();
      watchedSince = now;
    } else if (now - watchedSince > unresponsiveS) {
      watchedSince = now;
      store
          .renewIfPresent(key.leaseId())
          .onSuccess(
              leasePresent -> {
                if (!leasePresent) {
                  candidacy.leaderKeyOrphaned(key.node());
                }
              });
    }
  }

  /** The lease of this node's own key, of this modification revision, has been revoked. */
  void leaseRevoked(long modRevision) {
    revokedModRevision = modRevision;
  }

  /**
   * This node's own key was read. If its lease has been revoked before, and it is still there, it
   * is attached to no lease.
   */
  void observeOwn(VersionedEntry entry, String node) {
    if (entry.modRevision() == revokedModRevision) {
      candidacy.leaderKeyOrphaned(node);
    }
  }
}
