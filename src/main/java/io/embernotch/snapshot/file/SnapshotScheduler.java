package io.embernotch.snapshot.file;

import io.embernotch.actor.LatencyRecorder;
import io.embernotch.context.ControllerContext;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes snapshots at intervals while this node is leader, if the operators named a directory. Core
 * loop only.
 */
public final class SnapshotScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotScheduler.class);

  /** Intervals without a new snapshot after which the log says so. */
  private static final int OVERDUE_INTERVALS = 3;

  /** Intervals between two tries after many failures; they double up to this. */
  private static final int MAX_RETRY_INTERVALS = 4;

  private final ControllerContext context;
  private final OperatorSettings.Snapshots settings;

  /** Null if none is named. */
  private final SnapshotDirectory directory;

  private final LatencyRecorder latencies = new LatencyRecorder();
  private double takenAt;
  private double triedAt;
  private boolean writing;
  private int retryIntervals = 1;

  /** A scheduler whose first interval begins now. */
  public SnapshotScheduler(ControllerContext context) {
    this.context = context;
    this.settings = context.operator().snapshots();
    this.directory =
        settings.directory() == null
            ? null
            : new SnapshotDirectory(settings.directory(), settings.keep());
    this.takenAt = context.clock().now();
    this.triedAt = takenAt;
  }

  /**
   * Takes a snapshot if one is due; called on a leader only.
   *
   * @param incarnation name of the present store incarnation
   * @param snapshot makes the snapshot; null if the leader knows too little yet
   */
  public void tick(String incarnation, Supplier<ClusterSnapshot> snapshot) {
    double now = context.clock().now();
    if (directory == null || writing || now - triedAt < retryIntervals * settings.everyS()) {
      return;
    }
    triedAt = now;
    ClusterSnapshot taken = snapshot.get();
    if (taken == null) {
      return;
    }
    latencies.record("copy", context.clock().now() - now);
    writing = true;
    try {
      context.blocking().execute(() -> write(taken, incarnation));
    } catch (RejectedExecutionException e) {
      failed(e);
    }
  }

  /** On a thread for blocking work. */
  private void write(ClusterSnapshot snapshot, String incarnation) {
    try {
      Path file = directory.write(snapshot, incarnation);
      context.loop().execute(() -> written(file, snapshot));
    } catch (IOException | RuntimeException e) {
      // Whatever it is, the next one may succeed.
      context.loop().execute(() -> failed(e));
    }
  }

  private void written(Path file, ClusterSnapshot snapshot) {
    writing = false;
    retryIntervals = 1;
    takenAt = context.clock().now();
    LOG.info(
        "snapshot {}: {} jobs, {} ends; {}",
        file.getFileName(),
        snapshot.getJobCount(),
        snapshot.getEndedCount(),
        latencies.line());
  }

  private void failed(Exception failure) {
    writing = false;
    retryIntervals = Math.min(2 * retryIntervals, MAX_RETRY_INTERVALS);
    LOG.error("no snapshot could be written: {}", failure.toString());
    double ageS = context.clock().now() - takenAt;
    if (ageS > OVERDUE_INTERVALS * settings.everyS()) {
      LOG.error("the newest snapshot is {} s old", Math.round(ageS));
    }
  }

  /**
   * The newest snapshot in the directory; null if there is none, or none may be used. Blocks: to be
   * called only where nothing can be done without it.
   */
  public ClusterSnapshot newest() {
    if (directory == null || !settings.restoreWhenEmpty()) {
      return null;
    }
    try {
      SnapshotArchive archive = directory.newest();
      return archive == null ? null : archive.snapshot();
    } catch (IOException e) {
      LOG.error("snapshots can't be read: {}", e.toString());
      return null;
    }
  }
}
