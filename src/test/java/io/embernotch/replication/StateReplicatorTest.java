package io.embernotch.replication;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.election.PeerLiveness;
import io.embernotch.http.HttpReply;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.StoreClient;
import io.embernotch.store.Transaction;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/** A commit is reported once another controller has acknowledged it, or after a timeout. */
class StateReplicatorTest {
  private static final String INCARNATION = "c0-7";

  /** Much longer than the timeout of an acknowledgement. */
  private static final double LONGER_THAN_ACK_TIMEOUT_S = 0.5;

  private final FakeTime time = new FakeTime();
  private final Settings settings = SettingsReader.parse(SimulatedCluster.settingsToml(0));
  private final PeerLiveness peerLiveness = new PeerLiveness(settings, time);
  private final List<Frame.StateUpdate> sent = new ArrayList<>();
  private final List<String> receivers = new ArrayList<>();
  private String incarnation = INCARNATION;
  private final StoreReplica replica = new StoreReplica(1 << 20);
  private final ControllerContext context = context("process-1");
  private final ReplicaFeed feed = new ReplicaFeed(context, replica);
  private final StateReplicator replicator = replicator(context);

  /** A context whose store never answers. */
  private ControllerContext context(String processName) {
    return new ControllerContext(
        settings,
        OperatorSettings.DEFAULTS,
        time,
        time,
        time,
        EventLoopProfile.NONE,
        new StoreClient(
            (method, to, path, body, timeoutS) -> Promise.<HttpReply>promise().future(),
            time,
            time,
            settings),
        null,
        null,
        () -> processName,
        Runnable::run);
  }

  private StateReplicator replicator(ControllerContext replicatorContext) {
    return new StateReplicator(
        replicatorContext, new RecordingLink(), peerLiveness, replica, feed, () -> incarnation);
  }

  /** Records what is sent, and delivers nothing. */
  private final class RecordingLink implements PeerLink {
    @Override
    public void onFrame(BiConsumer<Frame, ReplyChannel> handler) {}

    @Override
    public void send(String node, Frame frame) {
      receivers.add(node);
      sent.add((Frame.StateUpdate) frame);
    }

    @Override
    public void reconnect(String node) {}
  }

  private void recordHeartbeatsOfBothPeers() {
    peerLiveness.recordHeartbeat("c1", true, true);
    peerLiveness.recordHeartbeat("c2", true, true);
  }

  private Future<Void> commit() {
    return replicator.committed(new Transaction().write("run/j-1", Json.object()), 300);
  }

  private long lastId() {
    return sent.get(sent.size() - 1).id();
  }

  private void acknowledge(long id) {
    replicator.handleAck(new Frame.StateUpdateAck(id));
  }

  private static Frame.StateUpdate update(String updateIncarnation) {
    byte[] value = "{}".getBytes(StandardCharsets.UTF_8);
    return new Frame.StateUpdate(
        9, updateIncarnation, 300, List.of(new Frame.StateEntry("shared/x", value)));
  }

  /** Guards against reporting a commit that only the controller that made it knows. */
  @Test
  void commitIsReportedOnceAnotherControllerAcknowledgesIt() {
    recordHeartbeatsOfBothPeers();
    Future<Void> reported = commit();
    assertThat(receivers).containsExactly("c1", "c2");
    assertThat(reported.isComplete()).isFalse();
    acknowledge(lastId());
    assertThat(reported.succeeded()).isTrue();
    time.advance(LONGER_THAN_ACK_TIMEOUT_S);
    assertThat(replicator.unreplicatedCommits()).isZero();
  }

  /** Guards against an acknowledgement that is counted for another commit. */
  @Test
  void anAcknowledgementCountsForItsOwnCommitOnly() {
    recordHeartbeatsOfBothPeers();
    Future<Void> first = commit();
    long firstId = lastId();
    Future<Void> second = commit();
    acknowledge(lastId());
    assertThat(first.isComplete()).isFalse();
    assertThat(second.succeeded()).isTrue();
    acknowledge(firstId);
    assertThat(first.succeeded()).isTrue();
  }

  /** Guards against users who wait forever for a controller that has just failed. */
  @Test
  void unacknowledgedCommitIsReportedAfterTimeoutAndCounted() {
    recordHeartbeatsOfBothPeers();
    Future<Void> reported = commit();
    time.advance(settings.workers().heartbeatIntervalS() / 40 - 0.001);
    assertThat(reported.isComplete()).isFalse();
    assertThat(replicator.unreplicatedCommits()).isZero();
    time.advance(0.002);
    assertThat(reported.succeeded()).isTrue();
    assertThat(replicator.unreplicatedCommits()).isEqualTo(1);
  }

  /** Guards against successive commits that each wait for the full timeout. */
  @Test
  void afterTimeoutCommitsDoNotWaitUntilNextAcknowledgement() {
    recordHeartbeatsOfBothPeers();
    commit();
    time.advance(LONGER_THAN_ACK_TIMEOUT_S);
    assertThat(commit().succeeded()).isTrue();
    assertThat(replicator.unreplicatedCommits()).isEqualTo(2);
    acknowledge(lastId());
    Future<Void> waiting = commit();
    assertThat(waiting.isComplete()).isFalse();
    acknowledge(lastId());
    assertThat(waiting.succeeded()).isTrue();
    assertThat(replicator.unreplicatedCommits()).isEqualTo(2);
  }

  /** Guards against late acknowledgements for an earlier process at the same address. */
  @Test
  void acknowledgementsForEarlierProcessAreIgnored() {
    recordHeartbeatsOfBothPeers();
    replicator(context("process-0"))
        .committed(new Transaction().write("run/j-1", Json.object()), 299);
    long earlierId = lastId();
    Future<Void> reported = commit();
    acknowledge(earlierId);
    assertThat(reported.isComplete()).isFalse();
    time.advance(LONGER_THAN_ACK_TIMEOUT_S);
    acknowledge(earlierId);
    assertThat(commit().isComplete()).isTrue();
  }

  /** Guards against waiting for controllers that are down or run a version without replication. */
  @Test
  void withoutLiveReplicaCommitsAreNotSentButReportedAndCounted() {
    assertThat(commit().succeeded()).isTrue();
    peerLiveness.recordHeartbeat("c1", true, false);
    assertThat(commit().succeeded()).isTrue();
    recordHeartbeatsOfBothPeers();
    time.advance(settings.workers().heartbeatIntervalS());
    assertThat(commit().succeeded()).isTrue();
    assertThat(sent).isEmpty();
    assertThat(replicator.unreplicatedCommits()).isEqualTo(3);
  }

  /** Guards against the cost of sending keys that no replica holds, such as the leader's. */
  @Test
  void commitsOfOtherKeysOrDuringDataLossAreNotSent() {
    recordHeartbeatsOfBothPeers();
    Transaction otherKeys = new Transaction().write("steward", Json.object());
    assertThat(replicator.committed(otherKeys, 300).succeeded()).isTrue();
    incarnation = null;
    assertThat(commit().succeeded()).isTrue();
    assertThat(sent).isEmpty();
    assertThat(replicator.unreplicatedCommits()).isZero();
  }

  /** Guards against acknowledging an update that was not applied to the replica. */
  @Test
  void onlyAppliedUpdatesAreAcknowledged() {
    List<Frame> replies = new ArrayList<>();
    replicator.handleUpdate(update(INCARNATION), replies::add);
    assertThat(replies).isEmpty();
    feed.start(BaseSnapshot.EMPTY);
    replicator.handleUpdate(update("c0-8"), replies::add);
    assertThat(replies).isEmpty();
    assertThat(replica.snapshot().getSharedList()).isEmpty();
    replicator.handleUpdate(update(INCARNATION), replies::add);
    assertThat(replies).containsExactly(new Frame.StateUpdateAck(9));
    assertThat(replica.snapshot().getSharedList()).hasSize(1);
  }
}
