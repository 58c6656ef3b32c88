package io.embernotch.election;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.context.ControllerContext;
import io.embernotch.store.LeaseRenewer;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects a leader through the leader key in the store. The key is attached to a short lease of its
 * own, and the controller that holds it is the only one that writes. The key's modification
 * revision identifies the term: every commit of the leader has it as a condition, so the store
 * rejects commits of earlier leaders that arrive late.
 *
 * <p>The election is a state machine. A follower reads the key, and watches it while another
 * controller holds it. When the key is absent, the follower becomes a candidate, which makes one
 * {@link LeaderClaim} and becomes leader or follower again. A leader becomes a follower when its
 * lease ends, when it resigns, when the store loses data, or when it learns of a newer leader.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  /** Shortest timer delay in seconds: the next iteration of the event loop. */
  static final double NEXT_ITERATION_S = 0.001;

  /** Seconds between the revocation of a former process's lease and the next read of the key. */
  private static final double REREAD_AFTER_REVOCATION_S = 0.01;

  /** A monotonic time before all others: no delay of claims, or no proven lease. */
  private static final double DISTANT_PAST = -1;

  private enum State {
    /** Reads the key, watches it, or waits until the next read. */
    FOLLOWER,
    /** A claim to the key is in progress. */
    CANDIDATE,
    /** Holds the key. Leads once the leases of all leaders from before a data loss have expired. */
    LEADER
  }

  private final String node;
  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final LeaseRenewer leaseRenewer;
  private final Candidacy candidacy;
  private final OrphanedKeyDetector orphanedKeys;
  private final double leaseTtlS;

  /** Seconds until the key is read again after a failure, or while no claim is allowed. */
  private final double retryDelayS;

  /** Longest duration in seconds of one watch on a key that another controller holds. */
  private final double watchTimeoutS;

  /** Seconds by which a controller delays its claim if others are better suited to lead. */
  private final double yieldDelayS;

  private LeadershipListener listener;
  private State state = State.FOLLOWER;
  private long leaseId;
  private long epoch;
  private double claimedAt;
  private double leadsFrom;
  private double noClaimBefore = DISTANT_PAST;
  private boolean readInFlight;

  /**
   * Creates an election that does nothing before {@link #start}.
   *
   * @param leaseRenewer renews the lease that the key is attached to
   */
  public LeaderElection(
      ControllerContext context,
      LeaseRenewer leaseRenewer,
      Candidacy candidacy,
      PeerLiveness peerLiveness) {
    this.node = context.settings().node();
    this.store = context.store();
    this.clock = context.clock();
    this.timers = context.timers();
    this.leaseRenewer = leaseRenewer;
    this.candidacy = candidacy;
    this.leaseTtlS = leaseRenewer.leaseTtlS();
    this.retryDelayS = leaseTtlS / 8;
    this.watchTimeoutS = 2 * leaseTtlS;
    this.yieldDelayS = leaseTtlS / 4;
    this.orphanedKeys = new OrphanedKeyDetector(store, clock, candidacy, peerLiveness, leaseTtlS);
  }

  /** Starts as a follower, and claims the key whenever it is absent. To be called once. */
  public void start(LeadershipListener leadershipListener) {
    listener = leadershipListener;
    readKey();
  }

  /** True while this controller holds the leader key: it leads, or waits until it may lead. */
  public boolean holdsKey() {
    return state == State.LEADER;
  }

  /**
   * True while this controller leads and no other one can. The lease counts from the sending of the
   * last successful renewal on the monotonic clock, less the allowed clock drift.
   */
  public boolean isLeaseValid() {
    double now = clock.now();
    return state == State.LEADER && now >= leadsFrom && now < leaseRenewer.leaseValidUntil();
  }

  /** Seconds since the lease stopped being proven valid; 0 or negative while it is valid. */
  public double leaseExpiredForS() {
    return clock.now() - leaseRenewer.leaseValidUntil();
  }

  /** Epoch of the last term in which this controller held the key; 0 if there was none. */
  public long epoch() {
    return epoch;
  }

  /**
   * When this controller started the claim of its last term, in seconds of the monotonic clock. No
   * other controller can have seen it hold the key of that term before.
   */
  public double claimedAt() {
    return claimedAt;
  }

  /**
   * Gives up leadership, and makes no claim for {@code noClaimForS} seconds.
   *
   * @param reason the reason, for the log
   */
  public void resign(String reason, double noClaimForS) {
    noClaimBefore = clock.now() + noClaimForS;
    if (state == State.LEADER) {
      store.revokeLease(leaseId);
      loseLeadership(reason, clock.now());
    }
  }

  /**
   * Becomes a follower, for example because another leader was seen.
   *
   * @param reason the reason, for the log
   */
  public void stepDown(String reason) {
    if (state == State.LEADER) {
      loseLeadership(reason, DISTANT_PAST);
    }
  }

  /**
   * Becomes a follower because the store has lost data, and with it the lease if it was still
   * valid.
   */
  public void stepDownAfterLoss() {
    if (state == State.LEADER) {
      loseLeadership("the store has lost data", leaseRenewer.leaseValidUntil());
    }
  }

  // ---- follower

  private void readKey() {
    if (state != State.FOLLOWER || readInFlight) {
      return;
    }
    readInFlight = true;
    store
        .get(LeaderKey.NAME)
        .onSuccess(
            entry -> {
              readInFlight = false;
              processKey(entry);
            })
        .onFailure(
            failure -> {
              readInFlight = false;
              readKeyAfter(retryDelayS);
            });
  }

  private void readKeyAfter(double delayS) {
    timers.after(delayS, this::readKey);
  }

  private void processKey(VersionedEntry entry) {
    if (state != State.FOLLOWER) {
      return;
    }
    boolean startsNewIncarnation = candidacy.startsNewIncarnation();
    Optional<LeaderKey> key = LeaderKey.read(entry);
    candidacy.leaderIncarnationRead(key.map(LeaderKey::incarnation).orElse(null));
    if (startsNewIncarnation) {
      key.ifPresent(
          former ->
              listener.formerLeaderSeen(former.node(), former.epochFloor() + entry.modRevision()));
    }
    if ((startsNewIncarnation || key.isEmpty()) && !candidacy.mayClaim()) {
      listener.leaderAbsent();
      readKeyAfter(retryDelayS);
    } else if (startsNewIncarnation) {
      startClaim(entry);
    } else if (key.isEmpty()) {
      claimAfterDelay(entry);
    } else if (key.get().node().equals(node)) {
      revokeOwnKey(entry, key.get());
    } else {
      followLeader(entry, key.get());
    }
  }

  /** Claims the absent key, or reads it again once this controller's delay has passed. */
  private void claimAfterDelay(VersionedEntry absent) {
    listener.leaderAbsent();
    double delayS = Math.max(noClaimBefore - clock.now(), listener.shouldYield() ? yieldDelayS : 0);
    if (delayS > 0) {
      // Another controller may hold the key after the delay, so it is read again before a claim.
      noClaimBefore = Math.min(noClaimBefore, clock.now());
      timers.after(delayS, this::readKeyAndClaim);
    } else {
      startClaim(absent);
    }
  }

  private void readKeyAndClaim() {
    if (state != State.FOLLOWER || readInFlight) {
      return;
    }
    store
        .get(LeaderKey.NAME)
        .onSuccess(
            entry -> {
              if (entry.present() || !candidacy.mayClaim()) {
                processKey(entry);
              } else if (state == State.FOLLOWER) {
                startClaim(entry);
              }
            })
        .onFailure(failure -> readKeyAfter(retryDelayS));
  }

  /**
   * Revokes the lease of a key that names this controller although it does not lead. Normally a
   * former process of this controller left the key; it is dead, so its lease need not expire first.
   * If the store was rolled back to contents that include the key, its lease may not exist, and no
   * response shows how old the key is. So the contents are verified as well.
   */
  private void revokeOwnKey(VersionedEntry entry, LeaderKey key) {
    orphanedKeys.observeOwnKey(entry, node);
    candidacy.verifyContents();
    store
        .revokeLease(key.leaseId())
        .onSuccess(revoked -> orphanedKeys.leaseRevoked(entry.modRevision()))
        .onComplete(revoked -> readKeyAfter(REREAD_AFTER_REVOCATION_S));
  }

  private void followLeader(VersionedEntry entry, LeaderKey key) {
    orphanedKeys.observeOtherKey(entry, key);
    listener.leaderChanged(
        key.node(), key.epochFloor() + entry.modRevision(), key.acceptsForwarded());
    store
        .watch(LeaderKey.NAME, entry.modRevision(), watchTimeoutS)
        .onComplete(change -> readKeyAfter(change.failed() ? retryDelayS : NEXT_ITERATION_S));
  }

  // ---- candidate

  /**
   * @param current the key as it was read: absent, or left from before a data loss
   */
  private void startClaim(VersionedEntry current) {
    state = State.CANDIDATE;
    new LeaderClaim(
            node, store, clock, candidacy, leaseTtlS, retryDelayS, current, new ClaimOutcome())
        .start();
  }

  private final class ClaimOutcome implements LeaderClaim.Outcome {
    @Override
    public void succeeded(LeaderClaim.Success success) {
      becomeLeader(success);
    }

    @Override
    public void failed(double retryAfterS) {
      state = State.FOLLOWER;
      readKeyAfter(retryAfterS);
    }
  }

  // ---- leader

  private void becomeLeader(LeaderClaim.Success success) {
    double waitS = success.claim().waitS();
    long modRevision = success.modRevision();
    state = State.LEADER;
    leaseId = success.leaseId();
    epoch = success.claim().epochFloor() + modRevision;
    claimedAt = success.grantSentAt();
    leadsFrom = clock.now() + waitS;
    leaseRenewer.keep(leaseId, success.grantSentAt(), this::leaseEnded);
    candidacy.claimSucceeded(modRevision);
    if (waitS <= 0) {
      startLeading(success);
    } else {
      LOG.info(
          "claimed a new store incarnation; leading in {} s, when former leases have expired",
          waitS);
      timers.after(waitS, () -> startLeading(success));
    }
  }

  private void startLeading(LeaderClaim.Success success) {
    if (state != State.LEADER || leaseId != success.leaseId()) {
      return;
    }
    if (candidacy.startsNewIncarnation()) {
      // The store lost data while the claim was in progress, and with it the claim.
      loseLeadership("the store lost data while leadership was being claimed", DISTANT_PAST);
      return;
    }
    LOG.info("leader since epoch {}", epoch);
    listener.leaderChanged(node, epoch, true);
    listener.leadershipAcquired(epoch, success.modRevision());
  }

  private void leaseEnded(long endedLeaseId) {
    if (state == State.LEADER && leaseId == endedLeaseId) {
      // A lease ends before its proven validity does only if the store has lost data.
      loseLeadership("the lease expired", leaseRenewer.leaseValidUntil());
    }
  }

  private void loseLeadership(String reason, double leaseValidUntil) {
    double leaseLeftS = -leaseExpiredForS();
    LOG.info("no longer leader: {}; epoch {}, lease left {} s", reason, epoch, leaseLeftS);
    state = State.FOLLOWER;
    leaseRenewer.release();
    listener.leadershipLost(reason, leaseValidUntil);
    readKey();
  }
}
