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
 * A directory of snapshots. A file is there whole or not at all: it is written under another name,
 * synced, and renamed. Its name holds the epoch and the time of day, so that names sort by age; the
 * epoch comes first, since clocks of controllers differ. All calls block.
 */
public final class SnapshotDirectory {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotDirectory.class);
  private static final String SUFFIX = ".snapshot";
  private static final String UNFINISHED_SUFFIX = ".unfinished";

  private final Path directory;
  private final int keep;

  /**
   * @param keep how many are kept when another is written, at least one
   */
  public SnapshotDirectory(Path directory, int keep) {
    this.directory = directory;
    this.keep = keep;
  }

  /**
   * Writes a snapshot, and deletes the oldest ones beyond those that are kept.
   *
   * @param incarnation name of the store incarnation that it is of
   * @return its file
   */
  public Path write(ClusterSnapshot snapshot, String incarnation) throws IOException {
    String name = String.format("%016d-%015d", snapshot.getEpoch(), snapshot.getWallMs());
    Path unfinished = directory.resolve(name + UNFINISHED_SUFFIX);
    Path file = directory.resolve(name + SUFFIX);
    writeSynced(unfinished, snapshot, incarnation);
    Files.move(unfinished, file, StandardCopyOption.ATOMIC_MOVE);
    syncDirectory();
    List<Path> files = list();
    for (Path old : files.subList(Math.min(keep, files.size()), files.size())) {
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

  /** Without this a file's new name may be gone after a power failure, though its contents stay. */
  private void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** All snapshots, the newest first. */
  public List<Path> list() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files
          .filter(file -> file.getFileName().toString().endsWith(SUFFIX))
          .sorted(Comparator.comparing((Path file) -> file.getFileName().toString()).reversed())
          .toList();
    }
  }

  /**
   * The newest snapshot that is whole; null if there is none. Damaged ones are named in the log,
   * and kept.
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
   * Reads a snapshot.
   *
   * @throws SnapshotArchive.DamagedSnapshotException if it is not whole
   * @throws IOException if it cannot be read
   */
  public static SnapshotArchive read(Path file) throws IOException {
    try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
      return SnapshotArchive.read(in);
    }
  }
}
