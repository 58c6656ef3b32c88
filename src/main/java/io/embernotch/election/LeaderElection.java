package io.embernotch.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.codec.Json;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.settings.Settings;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.LeaseRenewer;
import io.embernotch.store.RateLimiter.Rank;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreException;
import io.embernotch.store.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leadership: whoever holds the key {@code steward} in the store, attached to its own short lease, is the one
 * that writes. The key's stamp names the term: every commit of the leader conditions on it,
 * so nothing that an earlier leader sent can be applied later.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
  private static final String KEY = JobProgressCodec.LEADER;

  /** What is told of leadership. */
  public interface Listener {
    /**
     * This node is leader; {@code stamp} is that of the key, {@code epoch} names the term
     * in all eras.
     */
    void acquired(long epoch, long stamp);

    void lost(String why);

    /**
     * The leader is {@code node} now, or nobody if null; whether it takes reports that others pass
     * on.
     */
    void leaderIs(String node, long epoch, boolean relays);

    /** The controller has been heard from lately. */
    boolean isLive(String node);

    /**
     * True if another controller is better placed to contend, so that this one lets it go first.
     */
    boolean yieldFirst();
  }

  private enum State {
    FOLLOWING,
    CONTENDING,
    HOLDING
  }

  private final String node;
  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final double lifeS;
  private final LeaseRenewer keeper;
  private final Listener listener;
  private final Candidacy terms;
  private State state = State.FOLLOWING;
  private long permit;
  private long epoch;
  private double actsFrom;
  private long watchedStamp;
  private double watchedSince;

  /** A key of ours that is still there once its lease has been ended hangs on no lease. */
  private long revokedStamp = -1;

  private double avoidUntil = -1;
  private boolean looking;

  public LeaderElection(
      Settings settings,
      StoreClient store,
      LeaseRenewer keeper,
      Clock clock,
      Timers timers,
      Candidacy terms,
      Listener listener) {
    this.terms = terms;
    this.node = settings.node();
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.keeper = keeper;
    this.lifeS = keeper.lifeS();
    this.listener = listener;
  }

  public void start() {
    look();
  }

  public boolean holding() {
    return state == State.HOLDING;
  }

  /**
   * True while nobody else can be leader: counted by the steady clock from the sending of the last
   * good renewal, less drift.
   */
  public boolean live() {
    double now = clock.now();
    return state == State.HOLDING && now >= actsFrom && now < keeper.provenUntil();
  }

  /** Seconds since the lease could last be proven; at most 0 while it can be. */
  public double unprovenForS() {
    return clock.now() - keeper.provenUntil();
  }

  public long epoch() {
    return epoch;
  }

  /** Gives leadership up, and does not contend again for a while. */
  public void resign(String why, double avoidS) {
    avoidUntil = clock.now() + avoidS;
    if (state == State.HOLDING) {
      store.revoke(permit);
      lose(why);
    }
  }

  /** Another leader has been seen: a newer token, or a commit that failed on our key. */
  public void deposed(String why) {
    if (state == State.HOLDING) {
      lose(why);
    }
  }

  /** Looks at the key at once: there is reason to think that it has changed. */
  public void nudge() {
    if (state == State.FOLLOWING && !looking) {
      look();
    }
  }

  private void lose(String why) {
    LOG.info("no longer steward: {}", why);
    state = State.FOLLOWING;
    keeper.letGo();
    listener.lost(why);
    look();
  }

  private void look() {
    if (state != State.FOLLOWING || looking) {
      return;
    }
    looking = true;
    store
        .get(KEY)
        .onSuccess(
            entry -> {
              looking = false;
              seen(entry);
            })
        .onFailure(
            e -> {
              looking = false;
              timers.after(lifeS / 8, this::look);
            });
  }

  private void seen(VersionedEntry entry) {
    if (state != State.FOLLOWING) {
      return;
    }
    boolean anew = terms.beginsAnew();
    terms.named(entry.present() ? entry.value().path("era").asText("") : null);
    if ((anew || !entry.present()) && !terms.mayClaim()) {
      listener.leaderIs(null, 0, false);
      timers.after(lifeS / 8, this::look);
      return;
    }
    if (anew) {
      contend(entry);
      return;
    }
    if (!entry.present()) {
      listener.leaderIs(null, 0, false);
      double wait = Math.max(avoidUntil - clock.now(), listener.yieldFirst() ? lifeS / 4 : 0);
      if (wait > 0) {
        // After the pause somebody else may have it, so look again rather than contend blindly.
        avoidUntil = Math.min(avoidUntil, clock.now());
        timers.after(wait, this::lookOrContend);
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
      if (entry.stamp() == revokedStamp) {
        terms.orphaned(node);
      }
      terms.probe();
      store
          .revoke(entry.value().path("permit").asLong())
          .onSuccess(r -> revokedStamp = entry.stamp())
          .onComplete(r -> timers.after(0.01, this::look));
      return;
    }
    watchOver(entry, holder);
    listener.leaderIs(
        holder,
        entry.value().path("floor").asLong(0) + entry.stamp(),
        entry.value().path("relay").asBoolean());
    store
        .watch(KEY, entry.stamp(), 2 * lifeS)
        .onComplete(r -> timers.after(r.failed() ? lifeS / 8 : 0.001, this::look));
  }

  /**
   * A key whose lease is gone without it would never be dropped, and nobody could ever lead. So
   * when its holder is not heard for far longer than its lease lasts, the lease is looked for.
   */
  private void watchOver(VersionedEntry entry, String holder) {
    double now = clock.now();
    if (entry.stamp() != watchedStamp || listener.isLive(holder)) {
      watchedStamp = entry.stamp();
      watchedSince = now;
    } else if (now - watchedSince > 4 * lifeS) {
      watchedSince = now;
      store
          .leaseThere(entry.value().path("permit").asLong())
          .onSuccess(
              there -> {
                if (!there) {
                  terms.orphaned(holder);
                }
              });
    }
  }

  private void lookOrContend() {
    if (state != State.FOLLOWING || looking) {
      return;
    }
    store
        .get(KEY)
        .onSuccess(
            entry -> {
              if (entry.present() || !terms.mayClaim()) {
                seen(entry);
              } else if (state == State.FOLLOWING) {
                contend(entry);
              }
            })
        .onFailure(e -> timers.after(lifeS / 8, this::look));
  }

  /** Takes a lease and claims the key, which is absent, or left from before a loss. */
  private void contend(VersionedEntry there) {
    state = State.CONTENDING;
    double sentAt = clock.now();
    store
        .grant(lifeS)
        .onSuccess(granted -> claim(there, granted, sentAt))
        .onFailure(e -> follow(lifeS / 8));
  }

  private void claim(VersionedEntry there, long granted, double sentAt) {
    if (!terms.mayClaim() || (there.present() && !terms.beginsAnew())) {
      store.revoke(granted);
      follow(0.001);
      return;
    }
    Transaction txn = new Transaction().when(KEY, there.stamp());
    Candidacy.Claim claim = terms.claim(txn);
    ObjectNode value =
        Json.object()
            .put("node", node)
            .put("permit", granted)
            .put("relay", true)
            .put("era", claim.era())
            .put("floor", claim.floor());
    store
        .commit(txn.write(KEY, value, granted), Rank.URGENT)
        .onSuccess(
            commit -> {
              if (commit.applied()) {
                if (there.present()) {
                  // Whoever held the key before can prove its lease no longer.
                  store.revoke(there.value().path("permit").asLong());
                }
                hold(granted, commit.epoch(), claim, sentAt);
              } else {
                store.revoke(granted);
                terms.refused();
                follow(0.001);
              }
            })
        .onFailure(
            e -> {
              if (StoreException.kindOf(e) == StoreException.Kind.UNKNOWN) {
                confirm(granted, claim, sentAt);
              } else {
                store.revoke(granted);
                terms.refused();
                follow(lifeS / 8);
              }
            });
  }

  /** The claim was not answered: only the key itself tells whether it was made. */
  private void confirm(long granted, Candidacy.Claim claim, double sentAt) {
    store
        .get(KEY)
        .onSuccess(
            entry -> {
              if (entry.present() && entry.value().path("permit").asLong() == granted) {
                hold(granted, entry.stamp(), claim, sentAt);
              } else {
                // With its lease gone, the late claim can no longer be applied.
                store.revoke(granted).onComplete(r -> refused());
              }
            })
        .onFailure(e -> store.revoke(granted).onComplete(r -> refused()));
  }

  private void refused() {
    terms.refused();
    follow(lifeS / 8);
  }

  private void follow(double afterS) {
    state = State.FOLLOWING;
    timers.after(afterS, this::look);
  }

  private void hold(long granted, long stamp, Candidacy.Claim claim, double sentAt) {
    state = State.HOLDING;
    permit = granted;
    epoch = claim.floor() + stamp;
    actsFrom = clock.now() + claim.waitS();
    keeper.keep(granted, sentAt, this::ended);
    terms.claimed(stamp);
    if (claim.waitS() <= 0) {
      act(granted, stamp);
    } else {
      LOG.info(
          "steward of a new era in {} s, when one from before cannot be live any more",
          claim.waitS());
      timers.after(claim.waitS(), () -> act(granted, stamp));
    }
  }

  private void act(long granted, long stamp) {
    if (state != State.HOLDING || permit != granted) {
      return;
    }
    if (terms.beginsAnew()) {
      // Data was lost while the claim was under way: it stands in contents that are no more.
      lose("the claim was of contents that are lost");
      return;
    }
    LOG.info("steward since epoch {}", epoch);
    listener.leaderIs(node, epoch, true);
    listener.acquired(epoch, stamp);
  }

  private void ended(long which) {
    if (state == State.HOLDING && permit == which) {
      lose("the lease has ended");
    }
  }
}
