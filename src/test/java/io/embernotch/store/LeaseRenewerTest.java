package io.embernotch.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpReply;
import io.embernotch.settings.HostPort;
import io.embernotch.testkit.FakeTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests renewal of the leader's lease while the core event loop is busy, while the store answers
 * late, and after another lease was granted.
 */
class LeaseRenewerTest {
  private static final double LEASE_TTL_S = 3;

  private final FakeTime time = new FakeTime();
  private final List<String> requestedPaths = new ArrayList<>();
  private final List<Long> ended = new ArrayList<>();
  private int status = 200;

  /** The answer to all requests if set. */
  private Promise<HttpReply> lateReply;

  /** Tasks submitted to the core event loop, which is busy until the test runs them. */
  private final List<Runnable> coreTasks = new ArrayList<>();

  private final LeaseRenewer leaseRenewer =
      new LeaseRenewer(
          (method, to, path, body, timeout) -> {
            requestedPaths.add(path);
            if (lateReply != null) {
              return lateReply.future();
            }
            return status == 0
                ? Future.failedFuture(new CallFailedException(true, "no answer"))
                : Future.succeededFuture(new HttpReply(status, new byte[0]));
          },
          new HostPort("10.2.0.1", 2379),
          time,
          time,
          time,
          coreTasks::add,
          LEASE_TTL_S,
          0.001,
          8);

  private double remainingS() {
    return leaseRenewer.leaseValidUntil() - time.now();
  }

  @Test
  void renewsWhileTheCoreLoopIsBusyUntilTheCoreTimeout() {
    leaseRenewer.keep(7, time.now(), ended::add);
    time.advance(7);
    assertThat(remainingS()).isGreaterThan(LEASE_TTL_S / 2);
    // The core was silent for longer than the limit: the lease must expire, so that another
    // controller can lead.
    time.advance(8);
    assertThat(remainingS()).isNegative();
    leaseRenewer.reportCoreAlive();
    time.advance(2);
    assertThat(remainingS()).isPositive();
  }

  @Test
  void onlyAnAnsweredRenewalExtendsTheLeaseFromItsSendTime() {
    leaseRenewer.keep(7, time.now(), ended::add);
    time.advance(0.5);
    double proven = leaseRenewer.leaseValidUntil();
    status = 0;
    time.advance(2);
    assertThat(leaseRenewer.leaseValidUntil()).isEqualTo(proven);
    status = 503;
    time.advance(2);
    assertThat(remainingS()).isNegative();
    status = 404;
    time.advance(1);
    coreTasks.forEach(Runnable::run);
    assertThat(ended).containsExactly(7L);
    int before = requestedPaths.size();
    time.advance(5);
    assertThat(requestedPaths).hasSize(before);
  }

  @Test
  void anAnswerForAReleasedLeaseDoesNotExtendTheNextLease() {
    lateReply = Promise.promise();
    leaseRenewer.keep(7, time.now(), ended::add);
    time.advance(0.1);
    Promise<HttpReply> formerReply = lateReply;
    lateReply = Promise.promise();
    leaseRenewer.release();
    assertThat(leaseRenewer.leaseValidUntil()).isNegative();
    leaseRenewer.keep(8, time.now() - 2, ended::add);
    double proven = leaseRenewer.leaseValidUntil();
    formerReply.complete(new HttpReply(200, new byte[0]));
    time.advance(0.1);
    assertThat(leaseRenewer.leaseValidUntil()).isEqualTo(proven);
    assertThat(requestedPaths).last().isEqualTo("/leases/8/extend");
  }
}
