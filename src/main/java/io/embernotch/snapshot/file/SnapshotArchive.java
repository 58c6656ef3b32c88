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
 * One snapshot as a ZIP archive, so that common tools can look at it too: {@code head} is a {@link
 * SnapshotHead}, each {@code part-K} a {@link ClusterSnapshot} of some of the jobs. ZIP has a
 * checksum for each of them; the head has the number of parts and one checksum over all, since an
 * archive that lacks its last parts would look whole.
 */
public final class SnapshotArchive {
  private static final int VERSION = 1;

  /** Jobs in a part, and ends: damage is named by the part. */
  private static final int JOBS = 500;

  private static final int ENDS = 5000;

  /** A file that is not a whole snapshot; the message names the place. */
  public static final class DamagedSnapshotException extends IOException {
    private static final long serialVersionUID = 1L;

    public DamagedSnapshotException(String message) {
      super(message);
    }
  }

  private final SnapshotHead head;
  private final ClusterSnapshot copy;

  private SnapshotArchive(SnapshotHead head, ClusterSnapshot snapshot) {
    this.head = head;
    this.copy = snapshot;
  }

  public SnapshotHead head() {
    return head;
  }

  public ClusterSnapshot copy() {
    return copy;
  }

  /** Writes a copy that belongs to an incarnation; leaves {@code out} open. */
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
            .setCrc(sum(parts))
            .build();
    ZipOutputStream zip = new ZipOutputStream(out);
    entry(zip, "head", head.toByteArray());
    for (int index = 0; index < parts.size(); index++) {
      entry(zip, part(index), parts.get(index));
    }
    zip.finish();
  }

  /**
   * @throws Damaged if it is not a whole snapshot, with the place; nothing of it is to be used then
   */
  public static SnapshotArchive read(InputStream input) throws IOException {
    ZipInputStream zip = new ZipInputStream(input);
    SnapshotHead head;
    ClusterSnapshot.Builder snapshot = ClusterSnapshot.newBuilder();
    String at = "head";
    List<byte[]> parts = new ArrayList<>();
    try {
      head = SnapshotHead.parseFrom(next(zip, at));
      if (head.getVersion() > VERSION) {
        throw new DamagedSnapshotException(
            "head: version " + head.getVersion() + " is newer than " + VERSION);
      }
      for (int index = 0; index < head.getParts(); index++) {
        at = part(index);
        parts.add(next(zip, at));
        snapshot.mergeFrom(ClusterSnapshot.parseFrom(parts.get(index)));
      }
    } catch (ZipException | EOFException | InvalidProtocolBufferException entry) {
      throw new DamagedSnapshotException(
          at
              + ": "
              + (entry.getMessage() == null ? "the file ends too early" : entry.getMessage()));
    }
    if (sum(parts) != head.getCrc()
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
    List<byte[]> out = new ArrayList<>();
    for (int from = 0; from < snapshot.getJobCount(); from += JOBS) {
      out.add(
          ClusterSnapshot.newBuilder()
              .addAllJob(
                  snapshot
                      .getJobList()
                      .subList(from, Math.min(snapshot.getJobCount(), from + JOBS)))
              .build()
              .toByteArray());
    }
    if (snapshot.getSharedCount() > 0) {
      out.add(
          ClusterSnapshot.newBuilder()
              .addAllShared(snapshot.getSharedList())
              .build()
              .toByteArray());
    }
    for (int from = 0; from < snapshot.getEndedCount(); from += ENDS) {
      out.add(
          ClusterSnapshot.newBuilder()
              .addAllEnded(
                  snapshot
                      .getEndedList()
                      .subList(from, Math.min(snapshot.getEndedCount(), from + ENDS)))
              .build()
              .toByteArray());
    }
    return out;
  }

  private static String part(int index) {
    return String.format("part-%05d", index);
  }

  private static long sum(List<byte[]> parts) {
    CRC32 crc = new CRC32();
    parts.forEach(crc::update);
    return crc.getValue();
  }

  private static void entry(ZipOutputStream zip, String name, byte[] bytes) throws IOException {
    ZipEntry entry = new ZipEntry(name);
    entry.setTime(0);
    zip.putNextEntry(entry);
    zip.write(bytes);
    zip.closeEntry();
  }

  /** Reading an entry to its end checks its checksum. */
  private static byte[] next(ZipInputStream zip, String name) throws IOException {
    ZipEntry entry = zip.getNextEntry();
    if (entry == null || !entry.getName().equals(name)) {
      throw new DamagedSnapshotException(name + ": not there");
    }
    return zip.readAllBytes();
  }
}
