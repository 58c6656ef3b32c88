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
 * Holds what other controllers reported about the store's contents until this controller has read
 * them itself. Without it, a process that starts while the store does not answer would know nothing
 * of what users were told earlier, and could not replace the controllers that know it once they
 * have failed. Owned by the controller's event loop.
 */
public final class ReplicaBootstrap {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaBootstrap.class);

  private enum State {
    /** No controller has reported anything yet. */
    WANTED,
    /** At least one controller has reported what it knows. */
    TOLD,
    /** This controller has read the store or leads, so no report is needed. */
    NOT_NEEDED
  }

  private final KnowledgeCollector collector;
  private final Clock clock;

  /** Minimum time between two requests to the same controller, in seconds. */
  private final double intervalS;

  private State state = State.WANTED;
  private Knowledge told = Knowledge.getDefaultInstance();

  /** When each controller was last asked, by name. All are asked, since any may have failed. */
  private final Map<String, Double> askedAt = new HashMap<>();

  /** Number of requests that are not answered yet. */
  private int unanswered;

  /** Commits of other controllers during a request; the answer need not contain them. */
  private final List<Frame.StateUpdate> updatesWhileAsking = new ArrayList<>();

  /** Creates a bootstrap without any report. */
  public ReplicaBootstrap(ControllerContext context, KnowledgeCollector collector) {
    this.collector = collector;
    this.clock = context.clock();
    this.intervalS = context.settings().workers().heartbeatIntervalS();
  }

  /** Whether a request is pending and no controller has reported anything yet. */
  public boolean isAsking() {
    return state == State.WANTED && unanswered > 0;
  }

  /** Whether another controller has reported what it knows, and that is still needed. */
  public boolean isTold() {
    return state == State.TOLD;
  }

  /**
   * Asks a controller what it knows, unless it was asked within the last heartbeat interval or
   * {@link #finish} was called.
   *
   * @param node name of the controller to ask
   * @param listener receives all that was reported so far, and the updates that were committed
   *     during the request
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
      // Ask again without a delay: it may not have known anything yet, or a restarted process may
      // answer next.
      askedAt.remove(node);
    }
    if (answer.isEmpty() || state == State.NOT_NEEDED) {
      return;
    }
    Knowledge latest = answer.get();
    LOG.info(
        "{} reports {} jobs and {} ended jobs of incarnation {}, revision {}",
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

  /** Keeps an update that another controller committed during a request, for the listener. */
  public void hold(Frame.StateUpdate update) {
    updatesWhileAsking.add(update);
  }

  /** Merges what this controller knows otherwise, before the caller discards it. */
  public void add(ClusterSnapshot known) {
    told = told.toBuilder().setState(SnapshotMerge.of(told.getState(), known)).build();
  }

  /** All that was reported and added so far; an empty message after {@link #finish}. */
  public Knowledge told() {
    return told;
  }

  /** Discards all reports: this controller has read the store, or leads. */
  public void finish() {
    state = State.NOT_NEEDED;
    told = Knowledge.getDefaultInstance();
    updatesWhileAsking.clear();
  }
}
