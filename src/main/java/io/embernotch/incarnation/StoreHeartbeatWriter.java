package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.Transaction;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The leader's heartbeat in the store, for controllers that do not hear the leader. It holds the
 * highest revision that the leader has seen, which no contents from before that revision can match.
 * Owned by the controller's event loop.
 */
public final class StoreHeartbeatWriter {
  /** So many are written in a heartbeat interval, while some controller is not heard. */
  private static final double WRITES_PER_HEARTBEAT = 6;

  private final ControllerContext context;
  private final Supplier<Optional<Long>> leaderKey;
  private final Supplier<String> incarnation;
  private final BooleanSupplier needed;
  private final double periodS;

  /**
   * A writer that writes nothing before {@link #start}.
   *
   * @param leaderKey modification revision of the leader key while this node leads
   * @param incarnation name of the present store incarnation
   * @param needed whether some other controller may not hear this one
   */
  public StoreHeartbeatWriter(
      ControllerContext context,
      Supplier<Optional<Long>> leaderKey,
      Supplier<String> incarnation,
      BooleanSupplier needed) {
    this.context = context;
    this.leaderKey = leaderKey;
    this.incarnation = incarnation;
    this.needed = needed;
    this.periodS = context.settings().workers().heartbeatIntervalS() / WRITES_PER_HEARTBEAT;
  }

  /** Begins; called once. */
  public void start() {
    if (needed.getAsBoolean()) {
      leaderKey.get().ifPresent(this::write);
    }
    context.timers().after(periodS, this::start);
  }

  private void write(long leaderModRevision) {
    long seen = context.store().highestRevisionSeen();
    Transaction heartbeat =
        new Transaction()
            .when(JobProgressCodec.LEADER, leaderModRevision)
            .write(
                IncarnationCodec.HEARTBEAT,
                IncarnationCodec.writeHeartbeat(incarnation.get(), seen));
    context.store().commit(heartbeat, RequestPriority.HIGH);
  }
}
