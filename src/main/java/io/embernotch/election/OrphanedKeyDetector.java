package io.embernotch.election;

import io.embernotch.actor.Clock;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;

/**
 * Finds a leader key whose lease is gone without it. Such a key would never be dropped, and nobody
 * could ever lead. So when its holder has not been heard for far longer than its lease lasts, or
 * the lease was revoked here, the lease is looked for.
 */
final class OrphanedKeyDetector {
  /**
   * Leases for which the holder of an unchanged key must be unheard before its lease is checked.
   */
  private static final int UNHEARD_LEASES = 4;

  /** In place of a modification revision: none of this node's leases has been revoked. */
  private static final long NONE_REVOKED = -1;

  private final StoreClient store;
  private final Clock clock;
  private final Candidacy candidacy;
  private final PeerLiveness peerLiveness;
  private final double unheardS;
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
    this.unheardS = UNHEARD_LEASES * leaseTtlS;
  }

  /** The key, read just now, names another controller as leader. */
  void observe(VersionedEntry entry, LeaderKey key) {
    double now = clock.now();
    if (entry.modRevision() != watchedModRevision || peerLiveness.isLive(key.node())) {
      watchedModRevision = entry.modRevision();
      watchedSince = now;
    } else if (now - watchedSince > unheardS) {
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
