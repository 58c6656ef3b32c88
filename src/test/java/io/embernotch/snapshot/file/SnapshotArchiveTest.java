package io.embernotch.snapshot.file;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import io.embernotch.app.Main;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.snapshot.SnapshotBlocks;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.End;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.OpenAttemptSnapshot;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.SimulatedCluster;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Detecting damage in snapshot files and blocks, and restoring a cluster from a file. */
class SnapshotArchiveTest {
  @TempDir private Path dir;

  private static ClusterSnapshot snapshotOf(int jobs, long epoch) {
    ClusterSnapshot.Builder snapshot =
        ClusterSnapshot.newBuilder().setEpoch(epoch).setWallMs(1000 * epoch).setComplete(false);
    for (int i = 0; i < jobs; i++) {
      snapshot.addJob(
          JobSnapshot.newBuilder()
              .setRef("j-" + i)
              .setValue(ByteString.copyFromUtf8("{\"n\":" + i + "}"))
              .setNextAttempt(i)
              .addOpen(
                  OpenAttemptSnapshot.newBuilder()
                      .setTask(i)
                      .setNumber(7)
                      .setMachine("n-" + i)
                      .setZone("z1")));
      snapshot.addEnded(
          EndedJobSnapshot.newBuilder()
              .setRef("j-9" + i)
              .setEnd(End.DONE)
              .setTasks(3)
              .setDone(3)
              .setAtMs(i));
    }
    return snapshot.build();
  }

  private static byte[] bytes(ClusterSnapshot snapshot) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    SnapshotArchive.write(snapshot, "an-era", out);
    return out.toByteArray();
  }

  @Test
  void damagedByteNeverYieldsOtherContents() throws IOException {
    ClusterSnapshot snapshot = snapshotOf(12, 5);
    byte[] archive = bytes(snapshot);
    assertThat(SnapshotArchive.read(new ByteArrayInputStream(archive)).snapshot())
        .isEqualTo(snapshot);
    int detected = 0;
    for (int i = 0; i < archive.length; i++) {
      byte[] damaged = archive.clone();
      damaged[i] ^= 0x20;
      try {
        // The damaged byte may not be part of the contents, which are then unchanged.
        assertThat(SnapshotArchive.read(new ByteArrayInputStream(damaged)).snapshot())
            .isEqualTo(snapshot);
      } catch (IOException | IllegalArgumentException e) {
        detected++;
      }
      byte[] truncated = Arrays.copyOf(archive, i);
      try {
        assertThat(SnapshotArchive.read(new ByteArrayInputStream(truncated)).snapshot())
            .isEqualTo(snapshot);
      } catch (IOException | IllegalArgumentException e) {
        detected++;
      }
    }
    assertThat(detected).isGreaterThan(archive.length);
  }

  @Test
  void damagedBlocksAreRejected() {
    ClusterSnapshot snapshot = snapshotOf(300, 5);
    SnapshotBlocks packed = SnapshotBlocks.pack(snapshot, 1024);
    assertThat(packed.blocks())
        .hasSizeGreaterThan(2)
        .allSatisfy(bytes -> assertThat(bytes.length * 4 / 3).isLessThan(1024));
    assertThat(packed.unpack()).isEqualTo(snapshot);
    List<byte[]> swapped = new ArrayList<>(packed.blocks());
    swapped.add(swapped.remove(0));
    assertThatThrownBy(() -> new SnapshotBlocks(swapped, packed.crc()).unpack())
        .isInstanceOf(MalformedInputException.class);
    assertThatThrownBy(
            () -> new SnapshotBlocks(packed.blocks().subList(0, 1), packed.crc()).unpack())
        .isInstanceOf(MalformedInputException.class);
  }

  @Test
  void newestUndamagedSnapshotIsReadAndOldOnesAreDeleted() throws IOException {
    SnapshotDirectory snapshots = new SnapshotDirectory(dir, 3);
    for (int i = 1; i <= 5; i++) {
      snapshots.write(snapshotOf(i, i), "e");
    }
    assertThat(snapshots.list()).hasSize(3);
    assertThat(snapshots.newest().snapshot()).isEqualTo(snapshotOf(5, 5));
    Path newest = snapshots.list().get(0);
    byte[] bytes = Files.readAllBytes(newest);
    Files.write(newest, Arrays.copyOf(bytes, bytes.length / 2));
    // A file that was left unfinished by a crash is ignored.
    Files.write(dir.resolve("0000000000000009-000000000000009.unfinished"), bytes);
    assertThat(snapshots.newest().snapshot()).isEqualTo(snapshotOf(4, 4));
    assertThat(Main.run("snapshot", "list", dir.toString())).isEqualTo(1);
    assertThat(Main.run("snapshot", "verify", newest.toString())).isEqualTo(1);
    List<Path> files = snapshots.list();
    assertThat(Main.run("snapshot", "show", files.get(1).toString())).isZero();
    assertThat(Main.run("snapshot", "diff", files.get(1).toString(), files.get(1).toString()))
        .isZero();
    assertThat(
            Main.run(
                "snapshot", "diff", files.get(1).toString(), files.get(2).toString(), "--json"))
        .isEqualTo(1);
    assertThat(Main.run("snapshot", "diff", files.get(1).toString())).isEqualTo(2);
    assertThat(SnapshotDiff.of(snapshotOf(2, 1), snapshotOf(3, 1))).hasSize(2);
  }

  @Test
  void allDataIsRestoredFromASnapshotAfterAllControllersAndTheStoreAreLost() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            OperatorSettings.parse("snapshots { directory: '" + dir + "' every_s: 5 keep: 2 }"));
    cluster.awaitLeader(8);
    cluster.submit(0, job("j-1", "array", 2));
    cluster.submit(0, job("j-2", "standing", 3));
    cluster.advance(15);
    cluster.completeTasks("j-1");
    cluster.advance(12);
    assertThat(cluster.phase(1, "j-1")).isEqualTo("done");
    assertThat(cluster.runningTasks("j-2")).hasSize(3);
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.store.wipe();
    cluster.advance(3);
    cluster.nodes.forEach(ControllerNode::start);
    for (int i = 0; i < 40; i++) {
      cluster.advance(0.5);
      for (int node = 0; node < 3; node++) {
        assertThat(cluster.phase(node, "j-1")).isIn("done", "status 503");
        assertThat(cluster.phase(node, "j-2")).isNotEqualTo("status 404");
      }
    }
    assertThat(cluster.leader()).isNotNull();
    cluster.advance(10);
    for (int node = 0; node < 3; node++) {
      assertThat(cluster.phase(node, "j-1")).isEqualTo("done");
      assertThat(cluster.phase(node, "j-2")).isEqualTo("running");
      assertThat(cluster.submit(node, job("j-1", "array", 2)).status()).isEqualTo(200);
    }
    // No attempt was started again: the running ones were in the snapshot.
    assertThat(cluster.runningTasks("j-2")).hasSize(3);
    assertThat(cluster.workers.values())
        .allSatisfy(worker -> assertThat(worker.epoch).isEqualTo(1));
    assertThat(cluster.violations()).isEmpty();
  }
}
