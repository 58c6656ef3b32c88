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
  static final double IMMEDIATELY_S = 0.001;

  /** Seconds between the revocation of a former process's lease and the next read of the key. */
  private static final double AFTER_REVOCATION_S = 0.01;

  /** A monotonic time before all others: no delay of claims, or no proven lease. */
  private static final double NEVER = -1;

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
  private final double retryS;

  /** Longest duration in seconds of one watch on a key that another controller holds. */
  private final double watchS;

  /** Seconds by which a controller delays its claim if others are better suited to lead. */
  private final double yieldS;

  private LeadershipListener listener;
  private State state = State.FOLLOWER;
  private long leaseId;
  private long epoch;
  private double claimedAt;
  private double leadsFrom;
  private double avoidUntil = NEVER;
  private boolean reading;

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
    this.retryS = leaseTtlS / 8;
    this.watchS = 2 * leaseTtlS;
    this.yieldS = leaseTtlS / 4;
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
    return state == State.LEADER && now >= leadsFrom && now < leaseRenewer.provenUntil();
  }

  /** Seconds since the lease stopped being proven valid; 0 or negative while it is valid. */
  public double leaseUnprovenForS() {
    return clock.now() - leaseRenewer.provenUntil();
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
   * Gives up leadership, and makes no claim for {@code avoidS} seconds.
   *
   * @param why the reason, for the log
   */
  public void resign(String why, double avoidS) {
    avoidUntil = clock.now() + avoidS;
    if (state == State.LEADER) {
      store.revoke(leaseId);
      loseLeadership(why, clock.now());
    }
  }

  /**
   * Becomes a follower, for example because another leader was seen.
   *
   * @param why the reason, for the log
   */
  public void stepDown(String why) {
    if (state == State.LEADER) {
      loseLeadership(why, NEVER);
    }
  }

  /**
   * Becomes a follower because the store has lost data, and with it the lease if it was still
   * valid.
   */
  public void stepDownAfterLoss() {
    if (state == State.LEADER) {
      loseLeadership("the store has lost data", leaseRenewer.provenUntil());
    }
  }

  // ---- follower

  private void readKey() {
    if (state != State.FOLLOWER || reading) {
      return;
    }
    reading = true;
    store
        .get(LeaderKey.NAME)
        .onSuccess(
            entry -> {
              reading = false;
              keyRead(entry);
            })
        .onFailure(
            failure -> {
              reading = false;
              readKeyAfter(retryS);
            });
  }

  private void readKeyAfter(double pauseS) {
    timers.after(pauseS, this::readKey);
  }

  private void keyRead(VersionedEntry entry) {
    if (state != State.FOLLOWER) {
      return;
    }
    boolean startsNewIncarnation = candidacy.startsNewIncarnation();
    Optional<LeaderKey> key = LeaderKey.read(entry);
    candidacy.incarnationNamed(key.map(LeaderKey::incarnation).orElse(null));
    if (startsNewIncarnation) {
      key.ifPresent(
          former ->
              listener.formerLeaderSeen(former.node(), former.epochFloor() + entry.modRevision()));
    }
    if ((startsNewIncarnation || key.isEmpty()) && !candidacy.mayClaim()) {
      listener.leaderAbsent();
      readKeyAfter(retryS);
    } else if (startsNewIncarnation) {
      contend(entry);
    } else if (key.isEmpty()) {
      contendWhenDue(entry);
    } else if (key.get().node().equals(node)) {
      dropOwnKey(entry, key.get());
    } else {
      followHolder(entry, key.get());
    }
  }

  /** Claims the absent key, or reads it again once this controller's delay has passed. */
  private void contendWhenDue(VersionedEntry absent) {
    listener.leaderAbsent();
    double pauseS = Math.max(avoidUntil - clock.now(), listener.shouldYield() ? yieldS : 0);
    if (pauseS > 0) {
      // Another controller may hold the key after the delay, so it is read again before a claim.
      avoidUntil = Math.min(avoidUntil, clock.now());
      timers.after(pauseS, this::readKeyOrContend);
    } else {
      contend(absent);
    }
  }

  private void readKeyOrContend() {
    if (state != State.FOLLOWER || reading) {
      return;
    }
    store
        .get(LeaderKey.NAME)
        .onSuccess(
            entry -> {
              if (entry.present() || !candidacy.mayClaim()) {
                keyRead(entry);
              } else if (state == State.FOLLOWER) {
                contend(entry);
              }
            })
        .onFailure(failure -> readKeyAfter(retryS));
  }

  /**
   * Revokes the lease of a key that names this controller although it does not lead. Normally a
   * former process of this controller left the key; it is dead, so its lease need not expire first.
   * If the store was rolled back to contents that include the key, its lease may not exist, and no
   * response shows how old the key is. So the contents are verified as well.
   */
  private void dropOwnKey(VersionedEntry entry, LeaderKey key) {
    orphanedKeys.observeOwn(entry, node);
    candidacy.probe();
    store
        .revoke(key.leaseId())
        .onSuccess(revoked -> orphanedKeys.leaseRevoked(entry.modRevision()))
        .onComplete(revoked -> readKeyAfter(AFTER_REVOCATION_S));
  }

  private void followHolder(VersionedEntry entry, LeaderKey key) {
    orphanedKeys.observe(entry, key);
    listener.leaderChanged(
        key.node(), key.epochFloor() + entry.modRevision(), key.acceptsForwarded());
    store
        .watch(LeaderKey.NAME, entry.modRevision(), watchS)
        .onComplete(change -> readKeyAfter(change.failed() ? retryS : IMMEDIATELY_S));
  }

  // ---- candidate

  /**
   * @param current the key as it was read: absent, or left from before a data loss
   */
  private void contend(VersionedEntry current) {
    state = State.CANDIDATE;
    new LeaderClaim(node, store, clock, candidacy, leaseTtlS, retryS, current, new ClaimOutcome())
        .start();
  }

  private final class ClaimOutcome implements LeaderClaim.Outcome {
    @Override
    public void succeeded(LeaderClaim.Success success) {
      becomeLeader(success);
    }

    @Override
    public void failed(double retryInS) {
      state = State.FOLLOWER;
      readKeyAfter(retryInS);
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
      loseLeadership("the store lost data while leadership was being claimed", NEVER);
      return;
    }
    LOG.info("leader since epoch {}", epoch);
    listener.leaderChanged(node, epoch, true);
    listener.leadershipAcquired(epoch, success.modRevision());
  }

  private void leaseEnded(long endedLeaseId) {
    if (state == State.LEADER && leaseId == endedLeaseId) {
      // A lease ends before its proven validity does only if the store has lost data.
      loseLeadership("the lease expired", leaseRenewer.provenUntil());
    }
  }

  private void loseLeadership(String why, double provenUntil) {
    double leaseLeftS = -leaseUnprovenForS();
    LOG.info("no longer leader: {}; epoch {}, lease left {} s", why, epoch, leaseLeftS);
    state = State.FOLLOWER;
    leaseRenewer.release();
    listener.leadershipLost(why, provenUntil);
    readKey();
  }
}
