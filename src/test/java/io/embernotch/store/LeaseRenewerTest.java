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
 * The leader's lease while the core is busy, the service answers late, or leadership has moved on.
 */
class LeaseRenewerTest {
  private static final double LIFE_S = 3;

  private final FakeTime time = new FakeTime();
  private final List<String> asked = new ArrayList<>();
  private final List<Long> ended = new ArrayList<>();
  private int status = 200;
  private Promise<HttpReply> late;

  /** What the core is told waits here, as if the core were busy. */
  private final List<Runnable> core = new ArrayList<>();

  private final LeaseRenewer leaseRenewer =
      new LeaseRenewer(
          (method, to, path, body, timeout) -> {
            asked.add(path);
            if (late != null) {
              return late.future();
            }
            return status == 0
                ? Future.failedFuture(new CallFailedException(true, "no answer"))
                : Future.succeededFuture(new HttpReply(status, new byte[0]));
          },
          new HostPort("10.2.0.1", 2379),
          time,
          time,
          time,
          core::add,
          LIFE_S,
          0.001,
          8);

  private double left() {
    return leaseRenewer.provenUntil() - time.now();
  }

  @Test
  void itIsRenewedThoughTheCoreIsBusyButNotForEver() {
    leaseRenewer.keep(7, time.now(), ended::add);
    time.advance(7);
    assertThat(left()).isGreaterThan(LIFE_S / 2);
    // No sign of the core for longer than it may be busy: somebody else is to lead.
    time.advance(8);
    assertThat(left()).isNegative();
    leaseRenewer.coreAlive();
    time.advance(2);
    assertThat(left()).isPositive();
  }

  @Test
  void aRenewalCountsFromItsSendingAndOneWithoutAnswerNotAtAll() {
    leaseRenewer.keep(7, time.now(), ended::add);
    time.advance(0.5);
    double proven = leaseRenewer.provenUntil();
    status = 0;
    time.advance(2);
    assertThat(leaseRenewer.provenUntil()).isEqualTo(proven);
    status = 503;
    time.advance(2);
    assertThat(left()).isNegative();
    status = 404;
    time.advance(1);
    core.forEach(Runnable::run);
    assertThat(ended).containsExactly(7L);
    int before = asked.size();
    time.advance(5);
    assertThat(asked).hasSize(before);
  }

  @Test
  void anAnswerAboutAFormerLeaseProvesNothingOfTheNextOne() {
    late = Promise.promise();
    leaseRenewer.keep(7, time.now(), ended::add);
    time.advance(0.1);
    Promise<HttpReply> old = late;
    late = Promise.promise();
    leaseRenewer.release();
    assertThat(leaseRenewer.provenUntil()).isNegative();
    leaseRenewer.keep(8, time.now() - 2, ended::add);
    double proven = leaseRenewer.provenUntil();
    old.complete(new HttpReply(200, new byte[0]));
    time.advance(0.1);
    assertThat(leaseRenewer.provenUntil()).isEqualTo(proven);
    assertThat(asked).last().isEqualTo("/leases/8/extend");
  }
}
