package io.embernotch.forwarding;

import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.context.ProcessIncarnation;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.embernotch.settings.Settings;
import java.util.List;
import java.util.Map;

/**
 * A controller's right to renew the workers of its own zone while it is partitioned with them.
 * Without it all that runs behind a cut ends with its lease, though nothing is wrong there. The
 * right is given by a live leader with each {@link Frame.DelegateHeartbeatAck}, counts from the
 * sending of what that answers, and is used only once the leader has not answered for {@link
 * Settings#contactS}. {@link Delegations} is the leader's side, which knows until when such
 * renewals may have gone on.
 */
public final class DelegatedRenewal {
  private static final int REMEMBERED = 64;

  private final ControllerContext context;
  private final Map<Long, Double> sentAt = new LeastRecentlyUsed<>(REMEMBERED);
  private long seq;
  private long ack;

  /**
   * When the last message was sent that a leader has answered; the same for those that gave the
   * right.
   */
  private double contactAt;

  private double grantedAt = -1e9;
  private double renewedAt = -1;

  /** When each worker was last sent to look for the leader itself. */
  private final Map<String, Double> awayAt;

  public DelegatedRenewal(ControllerContext context) {
    this.context = context;
    this.contactAt = context.clock().now();
    this.awayAt = new LeastRecentlyUsed<>(context.settings().quota().maxConnections());
    this.seq = ProcessIncarnation.begin(context.names());
  }

  public Frame.DelegateHeartbeat nextHeartbeat() {
    double now = context.clock().now();
    sentAt.put(++seq, now);
    return new Frame.DelegateHeartbeat(
        context.settings().node(), seq, ack, renewedAt < 0 ? -1 : now - renewedAt);
  }

  public void acknowledged(Frame.DelegateHeartbeatAck n) {
    Double sent = sentAt.get(n.seq());
    if (sent == null) {
      return;
    }
    ack = Math.max(ack, n.seq());
    if (context.clock().now() - contactAt > context.settings().contactTimeoutS()) {
      // The next cut is another one: a worker that is sent away before we have renewed it may lose
      // its lease.
      awayAt.clear();
    }
    contactAt = Math.max(contactAt, sent);
    if (n.granted()) {
      grantedAt = Math.max(grantedAt, sent);
    }
  }

  /**
   * The answer that renews a worker's lease under the token it has; null if that is not for us to
   * give. Now and then, with a fresh lease, a worker is sent to look for the leader itself: perhaps
   * only we are partitioned, and it would get no orders here.
   */
  public HttpResponse renew(Heartbeat heartbeat, String leader) {
    double now = context.clock().now();
    Settings s = context.settings();
    boolean cutOff = now - contactAt > s.contactTimeoutS() * (1 + Settings.DRIFT);
    boolean granted = now - grantedAt < s.gracePeriodS() * (1 - Settings.DRIFT);
    if (!cutOff || !granted || heartbeat.token() == 0 || !s.location().equals(heartbeat.zone())) {
      return null;
    }
    Double away =
        awayAt.putIfAbsent(
            heartbeat.machine(),
            now - s.workers().leaseS() / 2 + s.workers().heartbeatIntervalS() / 4);
    if (away != null && now - away > s.workers().leaseS() / 2) {
      awayAt.put(heartbeat.machine(), now);
      return HeartbeatForwarder.misdirected(leader);
    }
    renewedAt = now;
    return HttpResponse.of(200, WorkerCodec.response(heartbeat.token(), List.of()));
  }
}
