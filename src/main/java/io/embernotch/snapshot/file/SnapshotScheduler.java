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
 * Writes snapshots at regular intervals while this controller leads, if a directory for them is
 * configured. Owned by the controller's event loop.
 */
public final class SnapshotScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotScheduler.class);

  /** Number of intervals without a new snapshot after which that is logged. */
  private static final int OVERDUE_INTERVALS = 3;

  /** Maximum number of intervals between two attempts; each failure doubles it up to this. */
  private static final int MAX_RETRY_INTERVALS = 4;

  private final ControllerContext context;
  private final OperatorSettings.Snapshots settings;

  /** Null if no directory is configured. */
  private final SnapshotDirectory directory;

  private final LatencyRecorder latencies = new LatencyRecorder();
  private double lastWrittenAt;
  private double lastAttemptAt;
  private boolean writing;
  private int retryIntervals = 1;

  /** Creates a scheduler; its first interval begins now. */
  public SnapshotScheduler(ControllerContext context) {
    this.context = context;
    this.settings = context.operatorSettings().snapshots();
    this.directory =
        settings.directory() == null
            ? null
            : new SnapshotDirectory(settings.directory(), settings.keep());
    this.lastWrittenAt = context.clock().now();
    this.lastAttemptAt = lastWrittenAt;
  }

  /**
   * Takes a snapshot if one is due. To be called repeatedly while this controller leads.
   *
   * @param incarnation name of the current store incarnation
   * @param snapshot takes the snapshot; returns null if the leader does not know the jobs yet
   */
  public void tick(String incarnation, Supplier<ClusterSnapshot> snapshot) {
    double now = context.clock().now();
    if (directory == null || writing || now - lastAttemptAt < retryIntervals * settings.everyS()) {
      return;
    }
    lastAttemptAt = now;
    ClusterSnapshot taken = snapshot.get();
    if (taken == null) {
      return;
    }
    latencies.record("copy", context.clock().now() - now);
    writing = true;
    try {
      context.blockingExecutor().execute(() -> write(taken, incarnation));
    } catch (RejectedExecutionException e) {
      handleFailure(e);
    }
  }

  /** Writes a snapshot; runs on a thread for blocking work. */
  private void write(ClusterSnapshot snapshot, String incarnation) {
    try {
      Path file = directory.write(snapshot, incarnation);
      context.coreLoop().execute(() -> handleWritten(file, snapshot));
    } catch (IOException | RuntimeException e) {
      // Catches unchecked exceptions too: otherwise no snapshot would be taken any more.
      context.coreLoop().execute(() -> handleFailure(e));
    }
  }

  private void handleWritten(Path file, ClusterSnapshot snapshot) {
    writing = false;
    retryIntervals = 1;
    lastWrittenAt = context.clock().now();
    LOG.info(
        "wrote snapshot {}: {} jobs, {} ended jobs; {}",
        file.getFileName(),
        snapshot.getJobCount(),
        snapshot.getEndedCount(),
        latencies.line());
  }

  private void handleFailure(Exception failure) {
    writing = false;
    retryIntervals = Math.min(2 * retryIntervals, MAX_RETRY_INTERVALS);
    LOG.error("failed to write a snapshot: {}", failure.toString());
    double ageS = context.clock().now() - lastWrittenAt;
    if (ageS > OVERDUE_INTERVALS * settings.everyS()) {
      LOG.error("the newest snapshot is {} s old", Math.round(ageS));
    }
  }

  /**
   * Reads the newest undamaged snapshot of the directory. Blocks the caller, so it is only for use
   * in a restore, which can't proceed without the result.
   *
   * @return null if there is none, the directory can't be read, or the settings don't allow a
   *     restore from snapshots
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
