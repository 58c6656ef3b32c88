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
 * Writes the leader's heartbeat to the store, for controllers that receive no heartbeats from the
 * leader over the network. The heartbeat holds the highest revision that the leader has seen. If
 * the store was rolled back to before that revision, the heartbeat's own modification revision is
 * not above it. Owned by the controller's event loop.
 */
public final class StoreHeartbeatWriter {
  /** Heartbeats written in a heartbeat interval while some other controller is not live. */
  private static final double WRITES_PER_HEARTBEAT_INTERVAL = 6;

  private final ControllerContext context;
  private final Supplier<Optional<Long>> leaderKeyRevision;
  private final Supplier<String> incarnation;
  private final BooleanSupplier peersMayMissHeartbeats;
  private final double periodS;

  /**
   * Creates a writer that is idle until {@link #start}.
   *
   * @param leaderKeyRevision modification revision of the leader key; empty while this node does
   *     not lead
   * @param incarnation name of the current store incarnation
   * @param peersMayMissHeartbeats whether some other controller may not receive this controller's
   *     heartbeats
   */
  public StoreHeartbeatWriter(
      ControllerContext context,
      Supplier<Optional<Long>> leaderKeyRevision,
      Supplier<String> incarnation,
      BooleanSupplier peersMayMissHeartbeats) {
    this.context = context;
    this.leaderKeyRevision = leaderKeyRevision;
    this.incarnation = incarnation;
    this.peersMayMissHeartbeats = peersMayMissHeartbeats;
    this.periodS =
        context.settings().workers().heartbeatIntervalS() / WRITES_PER_HEARTBEAT_INTERVAL;
  }

  /** Starts the periodic writes; call it once. */
  public void start() {
    if (peersMayMissHeartbeats.getAsBoolean()) {
      leaderKeyRevision.get().ifPresent(this::write);
    }
    context.timers().after(periodS, this::start);
  }

  private void write(long leaderModRevision) {
    long highestRevision = context.store().highestRevisionSeen();
    Transaction heartbeat =
        new Transaction()
            .when(JobProgressCodec.LEADER, leaderModRevision)
            .write(
                IncarnationCodec.LEADER_HEARTBEAT_KEY,
                IncarnationCodec.writeHeartbeat(incarnation.get(), highestRevision));
    context.store().commit(heartbeat, RequestPriority.HIGH);
  }
}
