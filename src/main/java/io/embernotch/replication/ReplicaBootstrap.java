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
    NO_REPORT,
    /** At least one controller has reported what it knows. */
    REPORTED,
    /** This controller has read the store or leads, so no report is needed. */
    FINISHED
  }

  private final KnowledgeCollector collector;
  private final Clock clock;

  /** Minimum time between two requests to the same controller, in seconds. */
  private final double requestIntervalS;

  private State state = State.NO_REPORT;
  private Knowledge reported = Knowledge.getDefaultInstance();

  /** When each controller was last asked, by name. All are asked, since any may have failed. */
  private final Map<String, Double> lastRequestAt = new HashMap<>();

  /** Number of requests that are not answered yet. */
  private int pendingRequests;

  /** Commits of other controllers during a request; the answer need not contain them. */
  private final List<Frame.StateUpdate> bufferedUpdates = new ArrayList<>();

  /** Creates a bootstrap without any report. */
  public ReplicaBootstrap(ControllerContext context, KnowledgeCollector collector) {
    this.collector = collector;
    this.clock = context.clock();
    this.requestIntervalS = context.settings().workers().heartbeatIntervalS();
  }

  /** Whether a request is pending and no controller has reported anything yet. */
  public boolean isRequesting() {
    return state == State.NO_REPORT && pendingRequests > 0;
  }

  /** Whether another controller has reported what it knows, and that is still needed. */
  public boolean hasReport() {
    return state == State.REPORTED;
  }

  /**
   * Asks a controller what it knows, unless it was asked within the last heartbeat interval or
   * {@link #finish} was called.
   *
   * @param node name of the controller to ask
   * @param listener receives all that was reported so far, and the updates that were committed
   *     during the request
   */
  public void requestContents(
      String node, BiConsumer<Knowledge, List<Frame.StateUpdate>> listener) {
    double now = clock.now();
    boolean isDue =
        now - lastRequestAt.getOrDefault(node, Double.NEGATIVE_INFINITY) >= requestIntervalS;
    if (state != State.FINISHED && isDue) {
      lastRequestAt.put(node, now);
      pendingRequests++;
      collector
          .requestCurrentContents(node)
          .onSuccess(answer -> handleAnswer(node, answer, listener));
    }
  }

  private void handleAnswer(
      String node,
      Optional<Knowledge> answer,
      BiConsumer<Knowledge, List<Frame.StateUpdate>> listener) {
    pendingRequests--;
    if (answer.isEmpty()) {
      // Ask again without a delay: it may not have known anything yet, or a restarted process may
      // answer next.
      lastRequestAt.remove(node);
    }
    if (answer.isEmpty() || state == State.FINISHED) {
      return;
    }
    Knowledge report = answer.get();
    LOG.info(
        "{} reports {} jobs and {} ended jobs of incarnation {}, revision {}",
        node,
        report.getState().getJobCount(),
        report.getState().getEndedCount(),
        report.getIncarnation(),
        report.getRevision());
    state = State.REPORTED;
    ClusterSnapshot merged = SnapshotMerge.of(reported.getState(), report.getState());
    reported =
        report.toBuilder()
            .setState(SnapshotMerge.withEnds(merged, report.getToldList()))
            .clearTold()
            .build();
    List<Frame.StateUpdate> updates = List.copyOf(bufferedUpdates);
    bufferedUpdates.clear();
    listener.accept(reported, updates);
  }

  /** Keeps an update that another controller committed during a request, for the listener. */
  public void bufferUpdate(Frame.StateUpdate update) {
    bufferedUpdates.add(update);
  }

  /** Merges what this controller knows otherwise, before the caller discards it. */
  public void mergeState(ClusterSnapshot known) {
    reported = reported.toBuilder().setState(SnapshotMerge.of(reported.getState(), known)).build();
  }

  /** All that was reported and added so far; an empty message after {@link #finish}. */
  public Knowledge reported() {
    return reported;
  }

  /** Discards all reports: this controller has read the store, or leads. */
  public void finish() {
    state = State.FINISHED;
    reported = Knowledge.getDefaultInstance();
    bufferedUpdates.clear();
  }
}
