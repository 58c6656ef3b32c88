package io.embernotch.leadership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.codec.Json;
import io.embernotch.codec.RunCodec;
import io.embernotch.settings.Settings;
import io.embernotch.store.Entry;
import io.embernotch.store.LeaseKeeper;
import io.embernotch.store.Pacer.Rank;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreFailure;
import io.embernotch.store.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leadership: whoever holds the key {@code steward}, attached to its own short lease, is the one
 * that writes. The key's stamp names the stewardship: every commit of the steward conditions on
 * it, so nothing that an earlier steward sent can be applied later.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);
  private static final String KEY = RunCodec.STEWARD;

  /** What is told of leadership. */
  public interface Listener {
    void acquired(long epoch);

    void lost(String why);

    /** The steward is {@code node} now, or nobody if null; whether it takes reports that others pass on. */
    void stewardIs(String node, long epoch, boolean relays);

    /** True if another controller is better placed to contend, so that this one lets it go first. */
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
  private final LeaseKeeper keeper;
  private final Listener listener;
  private State state = State.FOLLOWING;
  private long permit;
  private long epoch;
  private double avoidUntil = -1;
  private boolean looking;

  public Election(
      Settings settings, StoreClient store, LeaseKeeper keeper, Clock clock, Timers timers, Listener listener) {
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
   * True while nobody else can be steward: counted by the steady clock from the sending of the last
   * good renewal, less drift.
   */
  public boolean live() {
    return state == State.HOLDING && clock.now() < keeper.provenUntil();
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

  /** Another steward has been seen: a newer token, or a commit that failed on our key. */
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

  private void seen(Entry entry) {
    if (state != State.FOLLOWING) {
      return;
    }
    if (!entry.present()) {
      listener.stewardIs(null, 0, false);
      double wait = Math.max(avoidUntil - clock.now(), listener.yieldFirst() ? lifeS / 4 : 0);
      if (wait > 0) {
        // After the pause somebody else may have it, so look again rather than contend blindly.
        avoidUntil = Math.min(avoidUntil, clock.now());
        timers.after(wait, this::lookOrContend);
      } else {
        contend();
      }
      return;
    }
    String holder = entry.value().path("node").asText();
    if (holder.equals(node)) {
      // Left by this node's former process, which is dead: its lease need not be waited for.
      store.revoke(entry.value().path("permit").asLong()).onComplete(r -> timers.after(0.01, this::look));
      return;
    }
    listener.stewardIs(holder, entry.stamp(), entry.value().path("relay").asBoolean());
    store.watch(KEY, entry.stamp(), 2 * lifeS).onComplete(r -> timers.after(r.failed() ? lifeS / 8 : 0.001, this::look));
  }

  private void lookOrContend() {
    if (state != State.FOLLOWING || looking) {
      return;
    }
    store
        .get(KEY)
        .onSuccess(
            entry -> {
              if (entry.present()) {
                seen(entry);
              } else if (state == State.FOLLOWING) {
                contend();
              }
            })
        .onFailure(e -> timers.after(lifeS / 8, this::look));
  }

  private void contend() {
    state = State.CONTENDING;
    double sentAt = clock.now();
    store
        .grant(lifeS)
        .onSuccess(granted -> claim(granted, sentAt))
        .onFailure(e -> follow(lifeS / 8));
  }

  private void claim(long granted, double sentAt) {
    ObjectNode value = Json.object().put("node", node).put("permit", granted).put("relay", true);
    store
        .commit(new Txn().when(KEY, 0).write(KEY, value, granted), Rank.URGENT)
        .onSuccess(
            commit -> {
              if (commit.applied()) {
                hold(granted, commit.epoch(), sentAt);
              } else {
                store.revoke(granted);
                follow(0.001);
              }
            })
        .onFailure(
            e -> {
              if (StoreFailure.kindOf(e) == StoreFailure.Kind.UNKNOWN) {
                confirm(granted, sentAt);
              } else {
                store.revoke(granted);
                follow(lifeS / 8);
              }
            });
  }

  /** The claim was not answered: only the key itself tells whether it was made. */
  private void confirm(long granted, double sentAt) {
    store
        .get(KEY)
        .onSuccess(
            entry -> {
              if (entry.present() && entry.value().path("permit").asLong() == granted) {
                hold(granted, entry.stamp(), sentAt);
              } else {
                // With its lease gone, the late claim can no longer be applied.
                store.revoke(granted).onComplete(r -> follow(lifeS / 8));
              }
            })
        .onFailure(e -> store.revoke(granted).onComplete(r -> follow(lifeS / 8)));
  }

  private void follow(double afterS) {
    state = State.FOLLOWING;
    timers.after(afterS, this::look);
  }

  private void hold(long granted, long stamp, double sentAt) {
    state = State.HOLDING;
    permit = granted;
    epoch = stamp;
    keeper.keep(granted, sentAt, this::ended);
    LOG.info("steward since epoch {}", epoch);
    listener.stewardIs(node, epoch, true);
    listener.acquired(epoch);
  }

  private void ended(long which) {
    if (state == State.HOLDING && permit == which) {
      lose("the lease has ended");
    }
  }
}
