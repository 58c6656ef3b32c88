package io.embernotch.api;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.settings.Settings;
import io.embernotch.store.RateLimiter;
import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.Map;

/**
 * Selects the polls to answer where more arrive than a controller can ask the leader about. A job
 * whose every poll is refused for {@link #FORGOTTEN_S} counts as forgotten, so which polls are
 * refused must not be left to chance: the fewer polls can still be answered, the longer a job must
 * have gone without an answer here to get one. With {@code n} jobs polled at a controller that can
 * answer {@code c} polls a second, that is n/c seconds at most, plus one interval of the job's
 * polls. Owned by the controller's event loop.
 */
public final class PollRateLimiter {
  /** Seconds without an answer after which the operators count a job as forgotten. */
  public static final double FORGOTTEN_S = 75;

  /** The longest that a job may have to wait, where nearly nothing can be answered any more. */
  private static final double MAX_WAIT_S = 0.9 * FORGOTTEN_S;

  /** While this share of the burst is left, no poll is refused. */
  private static final double UNLIMITED_SHARE = 0.5;

  /** Seconds for which unused capacity adds up to a burst. */
  private static final double BURST_S = 1;

  /** Multiplies hash codes: odd, so that the codes of similar ids become far apart. */
  private static final int HASH_MULTIPLIER = 0x9E3779B1;

  /** The upper bits of a hash code that are used, and how many values they have. */
  private static final int HASH_SHIFT = 16;

  private static final double HASH_VALUES = 65536.0;

  private final Clock clock;
  private final double answersPerS;
  private final double startedAt;
  private final RateLimiter limiter;

  /** By job: when its status was last given here, in seconds of the steady clock. */
  private final Map<String, Double> answeredAt;

  /** A limiter that starts with a full burst. */
  public PollRateLimiter(Clock clock, Timers timers, Settings settings) {
    this.clock = clock;
    this.startedAt = clock.now();
    this.answersPerS =
        Math.max(1, settings.quota().maxConnections() / settings.workers().heartbeatIntervalS());
    this.limiter = new RateLimiter(clock, timers, answersPerS, BURST_S);
    this.answeredAt = new LeastRecentlyUsed<>(settings.quota().rememberedJobs());
  }

  /** Whether the poll may be answered; if it then was, {@link #recordAnswer} is to be called. */
  public boolean admit(String ref) {
    double available = limiter.available();
    double load = Math.max(0, 1 - available / (UNLIMITED_SHARE * answersPerS));
    double waitedS = clock.now() - lastAnsweredAt(ref);
    if (available < 1 || waitedS < load * MAX_WAIT_S) {
      return false;
    }
    limiter.acquire(1, RequestPriority.URGENT, () -> {});
    return true;
  }

  /**
   * Jobs of which this process has not answered a poll yet are spread over the time before its
   * start; otherwise they would all become due at the same time.
   */
  private double lastAnsweredAt(String ref) {
    int hash = (ref.hashCode() * HASH_MULTIPLIER) >>> HASH_SHIFT;
    return answeredAt.getOrDefault(ref, startedAt - MAX_WAIT_S * hash / HASH_VALUES);
  }

  /** The poll was answered with the job's status. */
  public void recordAnswer(String ref) {
    answeredAt.put(ref, clock.now());
  }
}
