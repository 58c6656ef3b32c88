package io.embernotch.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.settings.Settings;
import io.embernotch.store.LeaseRenewer;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreException;
import io.embernotch.store.Transaction;
import io.embernotch.store.VersionedEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leadership: whoever holds the key {@code steward} in the store, attached to its own short lease,
 * is the one that writes. The key's modification revision names the term: every commit of the
 * leader conditions on it, so nothing that an earlier leader sent can be applied later.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
  private static final String KEY = JobProgressCodec.LEADER;

  /** What is told of leadership. */
  public interface Listener {
    /**
     * This node is leader; {@code modification revision} is that of the key, {@code epoch} names
     * the term in all incarnations.
     */
    void leadershipAcquired(long epoch, long modRevision);

    void leadershipLost(String why);

    /**
     * The leader is {@code node} now, or nobody if null; whether it takes reports that others pass
     * on.
     */
    void leaderChanged(String node, long epoch, boolean relays);

    /** The controller has been heard from lately. */
    boolean isLive(String node);

    /**
     * True if another controller is better placed to contend, so that this one lets it go first.
     */
    boolean shouldYield();
  }

  private enum State {
    FOLLOWER,
    CANDIDATE,
    LEADER
  }

  private final String node;
  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final double leaseTtlS;
  private final LeaseRenewer leaseRenewer;
  private final Listener listener;
  private final Candidacy candidacy;
  private State state = State.FOLLOWER;
  private long leaseId;
  private long epoch;
  private double leadsFrom;
  private long watchedModRevision;
  private double watchedSince;

  /** A key of ours that is still there once its lease has been ended hangs on no lease. */
  private long revokedModRevision = -1;

  private double avoidUntil = -1;
  private boolean reading;

  public LeaderElection(
      Settings settings,
      StoreClient store,
      LeaseRenewer leaseRenewer,
      Clock clock,
      Timers timers,
      Candidacy candidacy,
      Listener listener) {
    this.candidacy = candidacy;
    this.node = settings.node();
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.leaseRenewer = leaseRenewer;
    this.leaseTtlS = leaseRenewer.leaseTtlS();
    this.listener = listener;
  }

  public void start() {
    readKey();
  }

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

  public long epoch() {
    return epoch;
  }

  /** Gives leadership up, and does not contend again for a while. */
  public void resign(String why, double avoidS) {
    avoidUntil = clock.now() + avoidS;
    if (state == State.LEADER) {
      store.revoke(leaseId);
      loseLeadership(why);
    }
  }

  /** Another leader has been seen: a newer token, or a commit that failed on our key. */
  public void stepDown(String why) {
    if (state == State.LEADER) {
      loseLeadership(why);
    }
  }

  /** Looks at the key at once: there is reason to think that it has changed. */
  public void nudge() {
    if (state == State.FOLLOWER && !reading) {
      readKey();
    }
  }

  private void loseLeadership(String why) {
    LOG.info("no longer leader: {}", why);
    state = State.FOLLOWER;
    leaseRenewer.release();
    listener.leadershipLost(why);
    readKey();
  }

  private void readKey() {
    if (state != State.FOLLOWER || reading) {
      return;
    }
    reading = true;
    store
        .get(KEY)
        .onSuccess(
            entry -> {
              reading = false;
              keyRead(entry);
            })
        .onFailure(
            e -> {
              reading = false;
              timers.after(leaseTtlS / 8, this::readKey);
            });
  }

  private void keyRead(VersionedEntry entry) {
    if (state != State.FOLLOWER) {
      return;
    }
    boolean anew = candidacy.startsNewIncarnation();
    candidacy.incarnationNamed(entry.present() ? entry.value().path("era").asText("") : null);
    if ((anew || !entry.present()) && !candidacy.mayClaim()) {
      listener.leaderChanged(null, 0, false);
      timers.after(leaseTtlS / 8, this::readKey);
      return;
    }
    if (anew) {
      contend(entry);
      return;
    }
    if (!entry.present()) {
      listener.leaderChanged(null, 0, false);
      double wait = Math.max(avoidUntil - clock.now(), listener.shouldYield() ? leaseTtlS / 4 : 0);
      if (wait > 0) {
        // After the pause somebody else may have it, so look again rather than contend blindly.
        avoidUntil = Math.min(avoidUntil, clock.now());
        timers.after(wait, this::readKeyOrContend);
      } else {
        contend(entry);
      }
      return;
    }
    String holder = entry.value().path("node").asText();
    if (holder.equals(node)) {
      // Left by this node's former process, which is dead: its lease need not be waited for. Or put
      // back,
      // in which case there may be no lease that could end, and no answer that shows how old the
      // key is.
      if (entry.modRevision() == revokedModRevision) {
        candidacy.leaderKeyOrphaned(node);
      }
      candidacy.probe();
      store
          .revoke(entry.value().path("permit").asLong())
          .onSuccess(r -> revokedModRevision = entry.modRevision())
          .onComplete(r -> timers.after(0.01, this::readKey));
      return;
    }
    watchHolder(entry, holder);
    listener.leaderChanged(
        holder,
        entry.value().path("floor").asLong(0) + entry.modRevision(),
        entry.value().path("relay").asBoolean());
    store
        .watch(KEY, entry.modRevision(), 2 * leaseTtlS)
        .onComplete(r -> timers.after(r.failed() ? leaseTtlS / 8 : 0.001, this::readKey));
  }

  /**
   * A key whose lease is gone without it would never be dropped, and nobody could ever lead. So
   * when its holder is not heard for far longer than its lease lasts, the lease is looked for.
   */
  private void watchHolder(VersionedEntry entry, String holder) {
    double now = clock.now();
    if (entry.modRevision() != watchedModRevision || listener.isLive(holder)) {
      watchedModRevision = entry.modRevision();
      watchedSince = now;
    } else if (now - watchedSince > 4 * leaseTtlS) {
      watchedSince = now;
      store
          .renewIfPresent(entry.value().path("permit").asLong())
          .onSuccess(
              there -> {
                if (!there) {
                  candidacy.leaderKeyOrphaned(holder);
                }
              });
    }
  }

  private void readKeyOrContend() {
    if (state != State.FOLLOWER || reading) {
      return;
    }
    store
        .get(KEY)
        .onSuccess(
            entry -> {
              if (entry.present() || !candidacy.mayClaim()) {
                keyRead(entry);
              } else if (state == State.FOLLOWER) {
                contend(entry);
              }
            })
        .onFailure(e -> timers.after(leaseTtlS / 8, this::readKey));
  }

  /** Takes a lease and claims the key, which is absent, or left from before a loss. */
  private void contend(VersionedEntry there) {
    state = State.CANDIDATE;
    double sentAt = clock.now();
    store
        .grant(leaseTtlS)
        .onSuccess(granted -> claim(there, granted, sentAt))
        .onFailure(e -> follow(leaseTtlS / 8));
  }

  private void claim(VersionedEntry there, long granted, double sentAt) {
    if (!candidacy.mayClaim() || (there.present() && !candidacy.startsNewIncarnation())) {
      store.revoke(granted);
      follow(0.001);
      return;
    }
    Transaction txn = new Transaction().when(KEY, there.modRevision());
    Candidacy.Claim claim = candidacy.claim(txn);
    ObjectNode value =
        Json.object()
            .put("node", node)
            .put("permit", granted)
            .put("relay", true)
            .put("era", claim.incarnation())
            .put("floor", claim.epochFloor());
    store
        .commit(txn.write(KEY, value, granted), RequestPriority.URGENT)
        .onSuccess(
            commit -> {
              if (commit.applied()) {
                if (there.present()) {
                  // Whoever held the key before can prove its lease no longer.
                  store.revoke(there.value().path("permit").asLong());
                }
                becomeLeader(granted, commit.revision(), claim, sentAt);
              } else {
                store.revoke(granted);
                candidacy.claimRefused();
                follow(0.001);
              }
            })
        .onFailure(
            e -> {
              if (StoreException.kindOf(e) == StoreException.Kind.UNKNOWN) {
                confirmClaim(granted, claim, sentAt);
              } else {
                store.revoke(granted);
                candidacy.claimRefused();
                follow(leaseTtlS / 8);
              }
            });
  }

  /** The claim was not answered: only the key itself tells whether it was made. */
  private void confirmClaim(long granted, Candidacy.Claim claim, double sentAt) {
    store
        .get(KEY)
        .onSuccess(
            entry -> {
              if (entry.present() && entry.value().path("permit").asLong() == granted) {
                becomeLeader(granted, entry.modRevision(), claim, sentAt);
              } else {
                // With its lease gone, the late claim can no longer be applied.
                store.revoke(granted).onComplete(r -> claimRefused());
              }
            })
        .onFailure(e -> store.revoke(granted).onComplete(r -> claimRefused()));
  }

  private void claimRefused() {
    candidacy.claimRefused();
    follow(leaseTtlS / 8);
  }

  private void follow(double afterS) {
    state = State.FOLLOWER;
    timers.after(afterS, this::readKey);
  }

  private void becomeLeader(long granted, long modRevision, Candidacy.Claim claim, double sentAt) {
    state = State.LEADER;
    leaseId = granted;
    epoch = claim.epochFloor() + modRevision;
    leadsFrom = clock.now() + claim.waitS();
    leaseRenewer.keep(granted, sentAt, this::leaseEnded);
    candidacy.claimSucceeded(modRevision);
    if (claim.waitS() <= 0) {
      startLeading(granted, modRevision);
    } else {
      LOG.info(
          "leader of a new store incarnation in {} s, when the lease of any former leader has expired",
          claim.waitS());
      timers.after(claim.waitS(), () -> startLeading(granted, modRevision));
    }
  }

  private void startLeading(long granted, long modRevision) {
    if (state != State.LEADER || leaseId != granted) {
      return;
    }
    if (candidacy.startsNewIncarnation()) {
      // Data was lost while the claim was under way: it stands in contents that are no more.
      loseLeadership("the claim was made on store contents that are lost");
      return;
    }
    LOG.info("leader since epoch {}", epoch);
    listener.leaderChanged(node, epoch, true);
    listener.leadershipAcquired(epoch, modRevision);
  }

  private void leaseEnded(long which) {
    if (state == State.LEADER && leaseId == which) {
      loseLeadership("the lease expired");
    }
  }
}
