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
 * Leadership: whoever holds the leader key in the store, attached to its own short lease, is the
 * one that writes. The key's modification revision names the term: every commit of the leader
 * conditions on it, so nothing that an earlier leader sent can be applied later.
 *
 * <p>A state machine. A follower reads the key, and waits for its change while another node holds
 * it. Once it is absent the follower becomes a candidate, which makes one {@link LeaderClaim} and
 * ends as leader or as follower. A leader becomes a follower when its lease ends, when it resigns,
 * or when a newer leader is known.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  /** Seconds of the shortest pause: the next iteration of the loop. */
  static final double IMMEDIATELY_S = 0.001;

  /** Seconds until the key is read again after the lease of a former process was revoked. */
  private static final double AFTER_REVOCATION_S = 0.01;

  /** In place of a time: this node need not keep from contending. */
  private static final double NEVER = -1;

  private enum State {
    /** Reads the key, or waits for its change or for the next reading. */
    FOLLOWER,
    /** A claim to the key is under way. */
    CANDIDATE,
    /** Holds the key; leads once the leases of leaders from before a loss of data have expired. */
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

  /** Seconds after a failure until the key is read again. */
  private final double retryS;

  /** Seconds for which the change of a key that another node holds is waited for. */
  private final double watchS;

  /** Seconds by which a controller that is badly placed contends later than the others. */
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
   * An election that has not begun: see {@link #start}.
   *
   * @param leaseRenewer renews the lease that the key is attached to
   * @param candidacy tells whether, and on what terms, this node may lead
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

  /** Begins as a follower, and contends whenever the key is absent; called once. */
  public void start(LeadershipListener leadershipListener) {
    listener = leadershipListener;
    readKey();
  }

  /** True while this node is leader, or waits to be one with the key in its hands. */
  public boolean holdsKey() {
    return state == State.LEADER;
  }

  /**
   * True while nobody else can be leader: counted by the steady clock from the sending of the last
   * good renewal, less drift.
   */
  public boolean isLeaseValid() {
    double now = clock.now();
    return state == State.LEADER && now >= leadsFrom && now < leaseRenewer.provenUntil();
  }

  /** Seconds since the lease could last be proven; at most 0 while it can be. */
  public double leaseUnprovenForS() {
    return clock.now() - leaseRenewer.provenUntil();
  }

  /** The epoch of the last term for which this node held the key; 0 if there was none. */
  public long epoch() {
    return epoch;
  }

  /** When this node began to claim the key for that term: nobody saw it hold the key before. */
  public double claimedAt() {
    return claimedAt;
  }

  /** Gives up leadership, and does not contend again for {@code avoidS} seconds. */
  public void resign(String why, double avoidS) {
    avoidUntil = clock.now() + avoidS;
    if (state == State.LEADER) {
      store.revoke(leaseId);
      loseLeadership(why, clock.now());
    }
  }

  /** Becomes a follower: another leader has been seen, or a commit failed on the leader key. */
  public void stepDown(String why) {
    if (state == State.LEADER) {
      loseLeadership(why, NEVER);
    }
  }

  /** Becomes a follower since the store has lost data, and with it the lease, if that lasted. */
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

  /** Nobody holds the key. */
  private void contendWhenDue(VersionedEntry absent) {
    listener.leaderAbsent();
    double pauseS = Math.max(avoidUntil - clock.now(), listener.shouldYield() ? yieldS : 0);
    if (pauseS > 0) {
      // After the pause somebody else may have it, so look again rather than contend blindly.
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
   * The key names this node, which does not lead. Either a former process of this node left it,
   * which is dead, so its lease need not be waited for. Or it was put back with older contents:
   * then there may be no lease that could end, and no answer that shows how old the key is.
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
   * Takes a lease and claims the key.
   *
   * @param current the key as it was read: absent, or left from before a loss of data
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
          "leader of a new store incarnation in {} s, when the lease of any former leader has expired",
          waitS);
      timers.after(waitS, () -> startLeading(success));
    }
  }

  private void startLeading(LeaderClaim.Success success) {
    if (state != State.LEADER || leaseId != success.leaseId()) {
      return;
    }
    if (candidacy.startsNewIncarnation()) {
      // Data was lost while the claim was under way: the claim is lost too.
      loseLeadership("the claim was made on store contents that are lost", NEVER);
      return;
    }
    LOG.info("leader since epoch {}", epoch);
    listener.leaderChanged(node, epoch, true);
    listener.leadershipAcquired(epoch, success.modRevision());
  }

  private void leaseEnded(long endedLeaseId) {
    if (state == State.LEADER && leaseId == endedLeaseId) {
      // It may not end early: if it has, that is by a loss of data.
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
