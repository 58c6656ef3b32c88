package io.embernotch.snapshot.file;

import com.google.protobuf.InvalidProtocolBufferException;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.SnapshotHead;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import java.util.zip.ZipEntry;
import java.util.zip.ZipException;
import java.util.zip.ZipInputStream;
import java.util.zip.ZipOutputStream;

/**
 * A snapshot as a ZIP archive, which common tools can open. The entry {@code head} is a {@link
 * SnapshotHead}, each entry {@code part-K} a {@link ClusterSnapshot} with some of the jobs. ZIP
 * protects each entry with a checksum. The head adds the number of parts and a checksum over all
 * parts, which detect an archive that lacks its last parts.
 */
public final class SnapshotArchive {
  private static final int VERSION = 1;

  private static final String HEAD = "head";

  /** Maximum number of jobs in a part; a message about damage names the part. */
  private static final int JOBS_PER_PART = 500;

  /** Maximum number of jobs in a part that are reduced to their end. */
  private static final int ENDED_JOBS_PER_PART = 5000;

  /** Thrown for a file that is not a complete, undamaged snapshot. */
  public static final class DamagedSnapshotException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * @param message the damaged entry and what is wrong with it
     */
    public DamagedSnapshotException(String message) {
      super(message);
    }
  }

  private final SnapshotHead head;
  private final ClusterSnapshot snapshot;

  private SnapshotArchive(SnapshotHead head, ClusterSnapshot snapshot) {
    this.head = head;
    this.snapshot = snapshot;
  }

  /** The head of the archive. */
  public SnapshotHead head() {
    return head;
  }

  /** The snapshot; marked as incomplete, since it lacks all later changes. */
  public ClusterSnapshot snapshot() {
    return snapshot;
  }

  /**
   * Writes a snapshot as an archive.
   *
   * @param incarnation name of the store incarnation that the snapshot was taken of
   * @param out receives the archive; is left open
   * @throws IOException if {@code out} fails
   */
  public static void write(ClusterSnapshot snapshot, String incarnation, OutputStream out)
      throws IOException {
    List<byte[]> parts = parts(snapshot);
    SnapshotHead head =
        SnapshotHead.newBuilder()
            .setVersion(VERSION)
            .setEra(incarnation)
            .setEpoch(snapshot.getEpoch())
            .setWallMs(snapshot.getWallMs())
            .setJobs(snapshot.getJobCount())
            .setEnded(snapshot.getEndedCount())
            .setParts(parts.size())
            .setCrc(checksum(parts))
            .build();
    ZipOutputStream zip = new ZipOutputStream(out);
    putEntry(zip, HEAD, head.toByteArray());
    for (int index = 0; index < parts.size(); index++) {
      putEntry(zip, partName(index), parts.get(index));
    }
    zip.finish();
  }

  /**
   * Reads an archive.
   *
   * @throws DamagedSnapshotException if the archive is incomplete or damaged, or its format is
   *     newer than this version reads
   * @throws IOException if {@code input} fails
   */
  public static SnapshotArchive read(InputStream input) throws IOException {
    ZipInputStream zip = new ZipInputStream(input);
    SnapshotHead head;
    ClusterSnapshot.Builder snapshot = ClusterSnapshot.newBuilder();
    String entryName = HEAD;
    List<byte[]> parts = new ArrayList<>();
    try {
      head = SnapshotHead.parseFrom(nextEntry(zip, entryName));
      if (head.getVersion() > VERSION) {
        throw new DamagedSnapshotException(
            "head: version " + head.getVersion() + " is newer than " + VERSION);
      }
      for (int index = 0; index < head.getParts(); index++) {
        entryName = partName(index);
        parts.add(nextEntry(zip, entryName));
        snapshot.mergeFrom(ClusterSnapshot.parseFrom(parts.get(index)));
      }
    } catch (ZipException | EOFException | InvalidProtocolBufferException e) {
      throw new DamagedSnapshotException(
          entryName + ": " + (e.getMessage() == null ? "the file ends too early" : e.getMessage()));
    }
    if (checksum(parts) != head.getCrc()
        || snapshot.getJobCount() != head.getJobs()
        || snapshot.getEndedCount() != head.getEnded()) {
      throw new DamagedSnapshotException(
          "head: the checksum over all parts, or their contents' count, is another");
    }
    return new SnapshotArchive(
        head,
        snapshot.setEpoch(head.getEpoch()).setWallMs(head.getWallMs()).setComplete(false).build());
  }

  private static List<byte[]> parts(ClusterSnapshot snapshot) {
    List<byte[]> parts = new ArrayList<>();
    for (int from = 0; from < snapshot.getJobCount(); from += JOBS_PER_PART) {
      parts.add(
          ClusterSnapshot.newBuilder()
              .addAllJob(
                  snapshot
                      .getJobList()
                      .subList(from, Math.min(snapshot.getJobCount(), from + JOBS_PER_PART)))
              .build()
              .toByteArray());
    }
    if (snapshot.getSharedCount() > 0) {
      parts.add(
          ClusterSnapshot.newBuilder()
              .addAllShared(snapshot.getSharedList())
              .build()
              .toByteArray());
    }
    for (int from = 0; from < snapshot.getEndedCount(); from += ENDED_JOBS_PER_PART) {
      parts.add(
          ClusterSnapshot.newBuilder()
              .addAllEnded(
                  snapshot
                      .getEndedList()
                      .subList(
                          from, Math.min(snapshot.getEndedCount(), from + ENDED_JOBS_PER_PART)))
              .build()
              .toByteArray());
    }
    return parts;
  }

  private static String partName(int index) {
    return String.format("part-%05d", index);
  }

  private static long checksum(List<byte[]> parts) {
    CRC32 crc = new CRC32();
    parts.forEach(crc::update);
    return crc.getValue();
  }

  private static void putEntry(ZipOutputStream zip, String name, byte[] bytes) throws IOException {
    ZipEntry entry = new ZipEntry(name);
    entry.setTime(0);
    zip.putNextEntry(entry);
    zip.write(bytes);
    zip.closeEntry();
  }

  /** Reads the bytes of the next entry. Reading to the end of an entry verifies its checksum. */
  private static byte[] nextEntry(ZipInputStream zip, String name) throws IOException {
    ZipEntry entry = zip.getNextEntry();
    if (entry == null || !entry.getName().equals(name)) {
      throw new DamagedSnapshotException(name + ": not there");
    }
    return zip.readAllBytes();
  }
}
