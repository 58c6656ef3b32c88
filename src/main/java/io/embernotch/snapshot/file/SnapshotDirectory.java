package io.embernotch.snapshot.file;

import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A directory of snapshot files. Files are created atomically: each is written under a temporary
 * name, synced and renamed. A file's name holds the leader's epoch and the wall-clock time, so that
 * names sort by age; the epoch comes first, since the clocks of controllers differ. All methods
 * block.
 */
public final class SnapshotDirectory {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotDirectory.class);
  private static final String SUFFIX = ".snapshot";
  private static final String UNFINISHED_SUFFIX = ".unfinished";

  private final Path directory;
  private final int snapshotsToKeep;

  /**
   * @param snapshotsToKeep number of snapshots to keep after each write, at least one
   */
  public SnapshotDirectory(Path directory, int snapshotsToKeep) {
    this.directory = directory;
    this.snapshotsToKeep = snapshotsToKeep;
  }

  /**
   * Writes a snapshot, and deletes the oldest files beyond the number to keep.
   *
   * @param incarnation name of the store incarnation that the snapshot was taken of
   * @return the file of the snapshot
   * @throws IOException if a file can't be written or deleted
   */
  public Path write(ClusterSnapshot snapshot, String incarnation) throws IOException {
    String name = String.format("%016d-%015d", snapshot.getEpoch(), snapshot.getWallMs());
    Path unfinished = directory.resolve(name + UNFINISHED_SUFFIX);
    Path file = directory.resolve(name + SUFFIX);
    writeSynced(unfinished, snapshot, incarnation);
    Files.move(unfinished, file, StandardCopyOption.ATOMIC_MOVE);
    syncDirectory();
    List<Path> files = list();
    for (Path old : files.subList(Math.min(snapshotsToKeep, files.size()), files.size())) {
      Files.deleteIfExists(old);
    }
    return file;
  }

  private static void writeSynced(Path file, ClusterSnapshot snapshot, String incarnation)
      throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      OutputStream out = new BufferedOutputStream(Channels.newOutputStream(channel));
      SnapshotArchive.write(snapshot, incarnation, out);
      out.flush();
      channel.force(true);
    }
  }

  /**
   * Syncs the directory. Without this a power failure may undo the rename of a file, though its
   * contents are synced.
   */
  private void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** All snapshot files, the newest first. */
  public List<Path> list() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files
          .filter(file -> file.getFileName().toString().endsWith(SUFFIX))
          .sorted(Comparator.comparing((Path file) -> file.getFileName().toString()).reversed())
          .toList();
    }
  }

  /**
   * Reads the newest snapshot that is not damaged; null if there is none. Damaged files are logged
   * and kept.
   *
   * @throws IOException if the directory or a file can't be read
   */
  public SnapshotArchive newest() throws IOException {
    for (Path file : list()) {
      try {
        return read(file);
      } catch (SnapshotArchive.DamagedSnapshotException e) {
        LOG.error("snapshot {} is damaged: {}", file.getFileName(), e.getMessage());
      }
    }
    return null;
  }

  /**
   * Reads a snapshot file.
   *
   * @throws SnapshotArchive.DamagedSnapshotException if the file is incomplete or damaged
   * @throws IOException if the file can't be read
   */
  public static SnapshotArchive read(Path file) throws IOException {
    try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
      return SnapshotArchive.read(in);
    }
  }
}
