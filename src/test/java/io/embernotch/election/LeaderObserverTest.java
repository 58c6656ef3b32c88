package io.embernotch.election;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeTime;
import org.junit.jupiter.api.Test;

/**
 * The highest epoch that a controller has observed. After a data loss, controllers compare it to
 * find out which term was the last.
 */
class LeaderObserverTest {
  private final FakeTime time = new FakeTime();
  private final LeaderObserver observer = new LeaderObserver(time);

  private void expectHighest(String node, long epoch, double seenForS) {
    assertThat(observer.highestEpochLeader()).isEqualTo(node);
    assertThat(observer.highestEpoch()).isEqualTo(epoch);
    assertThat(observer.highestEpochKnownForS()).isEqualTo(seenForS);
  }

  /** Guards against a reported leader although none was observed. */
  @Test
  void noEpochIsKnownInitially() {
    assertThat(observer.highestEpochLeader()).isNull();
    assertThat(observer.highestEpoch()).isZero();
  }

  /**
   * Guards against a source of epochs that is ignored: the leader key, a claim in a heartbeat, and
   * another controller's report.
   */
  @Test
  void highestEpochIncludesKeyReadsClaimsAndReports() {
    observer.setLeader("c0", 5);
    expectHighest("c0", 5, 0);
    observer.observeClaim("c1", 6);
    expectHighest("c1", 6, 0);
    observer.observeEpoch("c2", 7);
    expectHighest("c2", 7, 0);
    assertThat(observer.node()).isEqualTo("c1");
  }

  /**
   * Guards against a term that seems more recent than it is because its epoch is observed again.
   */
  @Test
  void repeatedObservationKeepsTheFirstTime() {
    observer.observeEpoch("c0", 5);
    time.advance(4);
    observer.observeEpoch("c0", 5);
    observer.setLeader("c0", 5);
    observer.observeClaim("c0", 5);
    expectHighest("c0", 5, 4);
  }

  /** Guards against late heartbeats that replace the epoch of a later term. */
  @Test
  void lowerEpochsAndTheEndOfTheTermKeepTheHighestEpoch() {
    observer.setLeader("c0", 5);
    time.advance(2);
    observer.observeEpoch("c1", 4);
    observer.observeClaim("c1", 4);
    observer.setLeader(null, 0);
    expectHighest("c0", 5, 2);
  }

  /**
   * Guards against a repeated epoch: after a data loss another leader may get an epoch that was
   * used before.
   */
  @Test
  void firstLeaderOfTheHighestEpochIsKept() {
    observer.observeEpoch("c0", 5);
    time.advance(1);
    observer.setLeader("c1", 5);
    expectHighest("c0", 5, 1);
  }
}
