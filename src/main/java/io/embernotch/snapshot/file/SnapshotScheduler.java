package io.embernotch.snapshot.file;

import io.embernotch.actor.LatencyRecorder;
import io.embernotch.context.ControllerContext;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes snapshots now and then while this node is leader, if the operators named a directory. */
public final class SnapshotScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotScheduler.class);

  /** So many intervals without a new snapshot are said in the log. */
  private static final int LATE = 3;

  private final ControllerContext context;
  private final OperatorSettings.Snapshots settings;
  private final SnapshotDirectory directory;
  private final LatencyRecorder took = new LatencyRecorder();
  private double takenAt;
  private double triedAt;
  private boolean writing;

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

  /** Time has gone by on a leader; {@code copy}: what it knows, null if it knows too little yet. */
  public void tick(String incarnation, Supplier<ClusterSnapshot> snapshot) {
    double now = context.clock().now();
    if (directory == null || writing || now - triedAt < settings.everyS()) {
      return;
    }
    triedAt = now;
    ClusterSnapshot taken = snapshot.get();
    if (taken == null) {
      return;
    }
    took.record("copy", context.clock().now() - now);
    writing = true;
    context
        .blocking()
        .execute(
            () -> {
              String failure = null;
              Path file = null;
              try {
                file = directory.write(taken, incarnation);
              } catch (IOException e) {
                failure = e.toString();
              }
              Path written = file;
              String why = failure;
              context.loop().execute(() -> written(written, taken, why));
            });
  }

  private void written(Path file, ClusterSnapshot snapshot, String failure) {
    writing = false;
    double now = context.clock().now();
    if (failure == null) {
      takenAt = now;
      LOG.info(
          "snapshot {}: {} jobs, {} ends; {}",
          file.getFileName(),
          snapshot.getJobCount(),
          snapshot.getEndedCount(),
          took.line());
    } else {
      LOG.error("no snapshot could be written: {}", failure);
    }
    if (now - takenAt > LATE * settings.everyS()) {
      LOG.error("the newest snapshot is {} s old", Math.round(now - takenAt));
    }
  }

  /**
   * The newest copy in the directory; null if there is none, or none may be used. Blocks: to be
   * called only where nothing can be done without it.
   */
  public ClusterSnapshot newest() {
    if (directory == null || !settings.restoreWhenEmpty()) {
      return null;
    }
    try {
      SnapshotArchive archive = directory.newest();
      return archive == null ? null : archive.copy();
    } catch (IOException e) {
      LOG.error("snapshots can't be read: {}", e.toString());
      return null;
    }
  }
}
