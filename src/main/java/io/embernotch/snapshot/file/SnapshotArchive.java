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
  public static final class Damaged extends IOException {
    private static final long serialVersionUID = 1L;

    public Damaged(String message) {
      super(message);
    }
  }

  private final SnapshotHead head;
  private final ClusterSnapshot copy;

  private SnapshotArchive(SnapshotHead head, ClusterSnapshot copy) {
    this.head = head;
    this.copy = copy;
  }

  public SnapshotHead head() {
    return head;
  }

  public ClusterSnapshot copy() {
    return copy;
  }

  /** Writes a copy that belongs to an incarnation; leaves {@code out} open. */
  public static void write(ClusterSnapshot copy, String incarnation, OutputStream out)
      throws IOException {
    List<byte[]> parts = parts(copy);
    SnapshotHead head =
        SnapshotHead.newBuilder()
            .setVersion(VERSION)
            .setEra(incarnation)
            .setEpoch(copy.getEpoch())
            .setWallMs(copy.getWallMs())
            .setJobs(copy.getJobCount())
            .setEnded(copy.getEndedCount())
            .setParts(parts.size())
            .setCrc(sum(parts))
            .build();
    ZipOutputStream zip = new ZipOutputStream(out);
    entry(zip, "head", head.toByteArray());
    for (int k = 0; k < parts.size(); k++) {
      entry(zip, part(k), parts.get(k));
    }
    zip.finish();
  }

  /**
   * @throws Damaged if it is not a whole snapshot, with the place; nothing of it is to be used then
   */
  public static SnapshotArchive read(InputStream in) throws IOException {
    ZipInputStream zip = new ZipInputStream(in);
    SnapshotHead head;
    ClusterSnapshot.Builder copy = ClusterSnapshot.newBuilder();
    String at = "head";
    List<byte[]> parts = new ArrayList<>();
    try {
      head = SnapshotHead.parseFrom(next(zip, at));
      if (head.getVersion() > VERSION) {
        throw new Damaged("head: version " + head.getVersion() + " is newer than " + VERSION);
      }
      for (int k = 0; k < head.getParts(); k++) {
        at = part(k);
        parts.add(next(zip, at));
        copy.mergeFrom(ClusterSnapshot.parseFrom(parts.get(k)));
      }
    } catch (ZipException | EOFException | InvalidProtocolBufferException e) {
      throw new Damaged(
          at + ": " + (e.getMessage() == null ? "the file ends too early" : e.getMessage()));
    }
    if (sum(parts) != head.getCrc()
        || copy.getJobCount() != head.getJobs()
        || copy.getEndedCount() != head.getEnded()) {
      throw new Damaged("head: the checksum over all parts, or their contents' count, is another");
    }
    return new SnapshotArchive(
        head,
        copy.setEpoch(head.getEpoch()).setWallMs(head.getWallMs()).setComplete(false).build());
  }

  private static List<byte[]> parts(ClusterSnapshot copy) {
    List<byte[]> out = new ArrayList<>();
    for (int from = 0; from < copy.getJobCount(); from += JOBS) {
      out.add(
          ClusterSnapshot.newBuilder()
              .addAllJob(copy.getJobList().subList(from, Math.min(copy.getJobCount(), from + JOBS)))
              .build()
              .toByteArray());
    }
    if (copy.getSharedCount() > 0) {
      out.add(
          ClusterSnapshot.newBuilder().addAllShared(copy.getSharedList()).build().toByteArray());
    }
    for (int from = 0; from < copy.getEndedCount(); from += ENDS) {
      out.add(
          ClusterSnapshot.newBuilder()
              .addAllEnded(
                  copy.getEndedList().subList(from, Math.min(copy.getEndedCount(), from + ENDS)))
              .build()
              .toByteArray());
    }
    return out;
  }

  private static String part(int k) {
    return String.format("part-%05d", k);
  }

  private static long sum(List<byte[]> parts) {
    CRC32 crc = new CRC32();
    parts.forEach(crc::update);
    return crc.getValue();
  }

  private static void entry(ZipOutputStream zip, String name, byte[] bytes) throws IOException {
    ZipEntry e = new ZipEntry(name);
    e.setTime(0);
    zip.putNextEntry(e);
    zip.write(bytes);
    zip.closeEntry();
  }

  /** Reading an entry to its end checks its checksum. */
  private static byte[] next(ZipInputStream zip, String name) throws IOException {
    ZipEntry e = zip.getNextEntry();
    if (e == null || !e.getName().equals(name)) {
      throw new Damaged(name + ": not there");
    }
    return zip.readAllBytes();
  }
}
