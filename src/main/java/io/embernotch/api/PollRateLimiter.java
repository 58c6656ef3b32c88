package io.embernotch.api;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.settings.Settings;
import io.embernotch.store.RateLimiter;
import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.Map;

/**
 * Which polls are answered where more come than a node can ask the leader about. A job whose every
 * question is refused for {@link #FORGOTTEN_S} is as good as forgotten, so who is refused must not
 * be left to chance: the fewer polls can still be answered, the longer a job must have gone without
 * an answer here to get one. With {@code n} jobs polled at a node that can answer {@code c} polls a
 * second that is n/c seconds at most, and a poll's interval on top.
 */
public final class PollRateLimiter {
  /** Seconds without an answer after which the operators count a job as forgotten. */
  public static final double FORGOTTEN_S = 75;

  /** So much of it a job may have to wait where nearly nothing can be answered any more. */
  private static final double MOST_SHARE = 0.9;

  /** While so much of the burst is left, nobody is refused. */
  private static final double EASY_SHARE = 0.5;

  /** Odd, so that names that differ little are far apart. */
  private static final int SPREAD = 0x9E3779B1;

  private final Clock clock;
  private final double perS;
  private final double startedAt;
  private final RateLimiter pacer;

  /** When each job was last told of here. */
  private final Map<String, Double> toldAt;

  public PollRateLimiter(Clock clock, Timers timers, Settings settings) {
    this.clock = clock;
    this.startedAt = clock.now();
    this.perS =
        Math.max(1, settings.quota().maxConnections() / settings.workers().heartbeatIntervalS());
    this.pacer = new RateLimiter(clock, timers, perS, 1);
    this.toldAt = new LeastRecentlyUsed<>(settings.quota().rememberedJobs());
  }

  /** True if the poll may be answered; then {@link #told} is to follow if it was. */
  public boolean admit(String ref) {
    double credit = pacer.available();
    double now = clock.now();
    double most = MOST_SHARE * FORGOTTEN_S;
    double pressed = Math.max(0, 1 - credit / (EASY_SHARE * perS));
    // Jobs that this incarnation of the node has told nothing of are spread, or their turns would
    // all come
    // at the same time.
    double told =
        toldAt.getOrDefault(ref, startedAt - most * ((ref.hashCode() * SPREAD) >>> 16) / 65536.0);
    if (credit < 1 || now - told < pressed * most) {
      return false;
    }
    pacer.acquire(1, RequestPriority.URGENT, () -> {});
    return true;
  }

  /** The poll was answered with what is known of the job. */
  public void told(String ref) {
    toldAt.put(ref, clock.now());
  }
}
