package io.embernotch.election;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeTime;
import org.junit.jupiter.api.Test;

/** The highest epoch that a controller has seen, by which others tell whose term was the last. */
class LeaderObserverTest {
  private final FakeTime time = new FakeTime();
  private final LeaderObserver observer = new LeaderObserver(time);

  private void expectHighest(String node, long epoch, double seenForS) {
    assertThat(observer.highestNode()).isEqualTo(node);
    assertThat(observer.highestEpoch()).isEqualTo(epoch);
    assertThat(observer.highestSeenForS()).isEqualTo(seenForS);
  }

  /** Guards against a leader where none was seen. */
  @Test
  void atFirstNoEpochWasSeen() {
    assertThat(observer.highestNode()).isNull();
    assertThat(observer.highestEpoch()).isZero();
  }

  /** Guards against a way of learning of a term that is left out. */
  @Test
  void theHighestEpochIsTakenFromTheKeyFromClaimsAndFromHearsay() {
    observer.update("c0", 5);
    expectHighest("c0", 5, 0);
    observer.observeClaim("c1", 6);
    expectHighest("c1", 6, 0);
    observer.observeEpoch("c2", 7);
    expectHighest("c2", 7, 0);
    assertThat(observer.node()).isEqualTo("c1");
  }

  /** Guards against a term that seems to be younger than it is, since it is heard of again. */
  @Test
  void thatAnEpochIsSeenAgainDoesNotMakeItNewer() {
    observer.observeEpoch("c0", 5);
    time.advance(4);
    observer.observeEpoch("c0", 5);
    observer.update("c0", 5);
    observer.observeClaim("c0", 5);
    expectHighest("c0", 5, 4);
  }

  /** Guards against late heartbeats that take back a later term. */
  @Test
  void lowerEpochsAndTheEndOfTheTermChangeNothing() {
    observer.update("c0", 5);
    time.advance(2);
    observer.observeEpoch("c1", 4);
    observer.observeClaim("c1", 4);
    observer.update(null, 0);
    expectHighest("c0", 5, 2);
  }

  /** Guards against an epoch that came again after a loss taking the place of the first one. */
  @Test
  void theFirstLeaderOfTheHighestEpochStays() {
    observer.observeEpoch("c0", 5);
    time.advance(1);
    observer.update("c1", 5);
    expectHighest("c0", 5, 1);
  }
}
