package io.embernotch.replication;

import io.embernotch.actor.Clock;
import io.embernotch.context.ControllerContext;
import io.embernotch.peer.Frame;
import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.snapshot.SnapshotMerge;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What another controller has told of the store's contents, until this one has read them itself.
 * Without it, a process that is started while the store does not answer it would know nothing of
 * what users were told before, and be of no use once those that know have ended. Owned by the
 * controller's event loop.
 */
public final class ReplicaBootstrap {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaBootstrap.class);

  private enum State {
    /** Nobody has told anything yet. */
    WANTED,
    /** Another controller has told what it knows. */
    TOLD,
    /** All was read here. */
    NOT_NEEDED
  }

  private final KnowledgeCollector collector;
  private final Clock clock;

  /** A controller is asked once in so many seconds at most. */
  private final double intervalS;

  private State state = State.WANTED;
  private Knowledge told = Knowledge.getDefaultInstance();

  /** When each controller was last asked, by name. One may have ended, so all are asked. */
  private final Map<String, Double> askedAt = new HashMap<>();

  /** How many controllers have not answered yet. */
  private int unanswered;

  /** What was committed while others were asked: it need not be in their answers. */
  private final List<Frame.StateUpdate> updatesWhileAsking = new ArrayList<>();

  /** Nothing was told yet. */
  public ReplicaBootstrap(ControllerContext context, KnowledgeCollector collector) {
    this.collector = collector;
    this.clock = context.clock();
    this.intervalS = context.settings().workers().heartbeatIntervalS();
  }

  /** Whether some controller is asked at present, and none has told anything yet. */
  public boolean isAsking() {
    return state == State.WANTED && unanswered > 0;
  }

  /** Whether another controller has told what it knows, and nothing has replaced that yet. */
  public boolean isTold() {
    return state == State.TOLD;
  }

  /**
   * Asks a controller, unless it was asked a moment ago or all was read here.
   *
   * @param listener receives all that was told so far, and what was committed while it was asked
   */
  public void ask(String node, BiConsumer<Knowledge, List<Frame.StateUpdate>> listener) {
    double now = clock.now();
    boolean isDue = now - askedAt.getOrDefault(node, Double.NEGATIVE_INFINITY) >= intervalS;
    if (state != State.NOT_NEEDED && isDue) {
      askedAt.put(node, now);
      unanswered++;
      collector.askForPresent(node).onSuccess(answer -> answered(node, answer, listener));
    }
  }

  private void answered(
      String node,
      Optional<Knowledge> answer,
      BiConsumer<Knowledge, List<Frame.StateUpdate>> listener) {
    unanswered--;
    if (answer.isEmpty()) {
      // It may have been about to end, or not to know anything yet.
      askedAt.remove(node);
    }
    if (answer.isEmpty() || state == State.NOT_NEEDED) {
      return;
    }
    Knowledge latest = answer.get();
    LOG.info(
        "{} tells {} jobs and {} ends of incarnation {}, revision {}",
        node,
        latest.getState().getJobCount(),
        latest.getState().getEndedCount(),
        latest.getIncarnation(),
        latest.getRevision());
    state = State.TOLD;
    ClusterSnapshot joined = SnapshotMerge.of(told.getState(), latest.getState());
    told =
        latest.toBuilder()
            .setState(SnapshotMerge.withEnds(joined, latest.getToldList()))
            .clearTold()
            .build();
    List<Frame.StateUpdate> updates = List.copyOf(updatesWhileAsking);
    updatesWhileAsking.clear();
    listener.accept(told, updates);
  }

  /** Another controller has committed something while others are asked. */
  public void hold(Frame.StateUpdate update) {
    updatesWhileAsking.add(update);
  }

  /** Adds what was known here besides, before it is replaced. */
  public void add(ClusterSnapshot known) {
    told = told.toBuilder().setState(SnapshotMerge.of(told.getState(), known)).build();
  }

  /** What was told; nothing once all was read here. */
  public Knowledge told() {
    return told;
  }

  /** All was read here: what others have told is not needed any more. */
  public void finish() {
    state = State.NOT_NEEDED;
    told = Knowledge.getDefaultInstance();
    updatesWhileAsking.clear();
  }
}
