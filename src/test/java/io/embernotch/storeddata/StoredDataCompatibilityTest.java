package io.embernotch.storeddata;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.CalendarCodec;
import io.embernotch.codec.CloudCodec;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.ReservationCodec;
import io.embernotch.model.Job;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.peer.Frame;
import io.embernotch.peer.FrameCodec;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.snapshot.file.SnapshotArchive;
import io.embernotch.testkit.SimulatedCluster;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Values, frames and a snapshot file that an earlier version wrote are read, and written again with
 * the same bytes. Guards against renames in the sources that change what is stored or sent:
 * versions run side by side, and stored data outlives them.
 */
class StoredDataCompatibilityTest {
  private static final String RESTORED = "restored-store.json";
  private static final String REFINED = "refined-store.json";
  private static final String STORE = "store.json";

  private static byte[] file(String name) throws IOException {
    try (InputStream in =
        StoredDataCompatibilityTest.class.getResourceAsStream("/stored-data/" + name)) {
      return in.readAllBytes();
    }
  }

  /** The values of a store by key. */
  private static Map<String, ObjectNode> store(String name) throws IOException {
    Map<String, ObjectNode> values = new TreeMap<>();
    Json.parseObject(file(name))
        .fields()
        .forEachRemaining(field -> values.put(field.getKey(), (ObjectNode) field.getValue()));
    return values;
  }

  private static void assertSameBytes(ObjectNode written, ObjectNode stored, String key) {
    assertThat(Json.bytes(written)).as(key).isEqualTo(Json.bytes(stored));
  }

  @ParameterizedTest
  @ValueSource(strings = {STORE, REFINED, RESTORED})
  void incarnationAndMachineTypesRoundTripByteForByte(String name) throws IOException {
    Map<String, ObjectNode> values = store(name);
    ObjectNode pointer = values.get("era");
    StoreIncarnation incarnation = IncarnationCodec.read(pointer, 7);
    ObjectNode expected = pointer.deepCopy();
    if (pointer.has("since")) {
      // A stored 0 means the key's own modification revision, which is written explicitly.
      expected.put("since", 7);
    }
    assertSameBytes(IncarnationCodec.write(incarnation), expected, "era");
    assertThat(IncarnationCodec.fenceKey(incarnation)).isEqualTo("era/" + incarnation.name());
    assertThat(values.get("era/" + incarnation.name())).isEqualTo(pointer);
    ObjectNode types = values.get("types");
    assertSameBytes(CloudCodec.writeTypes(CloudCodec.readTypes(types)), types, "types");
  }

  @Test
  void jobsAndTheirProgressRoundTripByteForByte() throws IOException {
    Map<String, ObjectNode> values = store(STORE);
    for (int number = 1; number <= 7; number++) {
      String ref = "j-" + number;
      ObjectNode submission = values.get("job/" + ref);
      Job job = JobProgressCodec.readJob(submission);
      int shardSize = JobProgressCodec.readShardSize(submission);
      assertSameBytes(JobProgressCodec.writeJob(job, shardSize), submission, "job/" + ref);
      ObjectNode progress = values.get(JobProgressCodec.shardKey(ref, 0));
      // The fifth job waits for its dependencies, so no progress of it was written.
      assertThat(progress == null).isEqualTo(number == 5);
      if (progress != null) {
        JobProgressCodec.readShard(progress, job, shardSize, 0);
        assertSameBytes(JobProgressCodec.writeShard(job, shardSize, 0), progress, "run/" + ref);
      }
    }
  }

  @Test
  void refinedShardsOverrideTheLargerOnes() throws IOException {
    Map<String, ObjectNode> values = store(REFINED);
    Job job = JobProgressCodec.readJob(values.get("job/j-1"));
    int shardSize = JobProgressCodec.readShardSize(values.get("job/j-1"));
    JobProgressCodec.readShard(values.get("run/j-1"), job, shardSize, 0);
    for (int index = 0; index < 4; index++) {
      ObjectNode refined = values.get(JobProgressCodec.refinedShardKey("j-1", 17, index));
      JobProgressCodec.readRefinedShard(refined, job, 17, index);
    }
    assertThat(job.done.cardinality()).isEqualTo(48);
    assertThat(job.openAttempts.keySet())
        .containsExactly(48, 49, 50, 51, 52, 53, 54, 55, 56, 57, 58, 59);
  }

  @Test
  void sharedStateRoundTripsByteForByte() throws IOException {
    Map<String, ObjectNode> values = store(STORE);
    ObjectNode reservations = values.get("shared/reserve");
    ObjectNode calendar = values.get("shared/calendar");
    assertSameBytesWithoutVersion(
        ReservationCodec.writeTerms(3, ReservationCodec.readTerms(reservations)), reservations);
    assertSameBytesWithoutVersion(
        CalendarCodec.writeReleases(3, CalendarCodec.readReleases(calendar)), calendar);
    ObjectNode reserved = values.get("shared/held/live/0");
    assertSameBytesWithoutVersion(
        ReservationCodec.writeReserved(ReservationCodec.readReserved(reserved)), reserved);
    ObjectNode release = values.get("shared/release/late/1970-01-01");
    assertSameBytesWithoutVersion(CalendarCodec.write(CalendarCodec.read(release)), release);
  }

  /** Compares values without the version, which is added when an entry is stored. */
  private static void assertSameBytesWithoutVersion(ObjectNode written, ObjectNode stored) {
    ObjectNode withoutVersion = stored.deepCopy();
    withoutVersion.remove("n");
    assertSameBytes(written, withoutVersion, "shared entry");
  }

  @Test
  void framesRoundTripByteForByte() throws IOException {
    String[] lines =
        new String(file("frames.txt"), StandardCharsets.US_ASCII).strip().split("\n", -1);
    assertThat(lines).hasSize(17);
    for (String line : lines) {
      String hex = line.substring(line.indexOf(' ') + 1);
      byte[] bytes = HexFormat.of().parseHex(hex);
      Frame frame = FrameCodec.decode(ByteBuffer.wrap(bytes, 4, bytes.length - 4).slice());
      assertThat(HexFormat.of().formatHex(FrameCodec.encode(frame))).as(line).isEqualTo(hex);
    }
  }

  @Test
  void snapshotRoundTripsByteForByte() throws IOException {
    byte[] bytes = file("snapshot.zip");
    SnapshotArchive archive;
    try (InputStream in =
        StoredDataCompatibilityTest.class.getResourceAsStream("/stored-data/snapshot.zip")) {
      archive = SnapshotArchive.read(in);
    }
    assertThat(archive.head().getEpoch()).isEqualTo(41);
    assertThat(archive.head().getWallMs()).isEqualTo(1000123);
    assertThat(archive.snapshot().getJobList()).extracting(job -> job.getRef()).hasSize(7);
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    SnapshotArchive.write(archive.snapshot(), archive.head().getEra(), written);
    assertThat(written.toByteArray()).isEqualTo(bytes);
  }

  /** The responses to polls, by job id, of the version that wrote this data. */
  private static final Map<String, String> ANSWERS =
      Map.of(
          "j-1", "{\"ref\":\"j-1\",\"phase\":\"running\",\"done\":2,\"running\":4}",
          "j-2", "{\"ref\":\"j-2\",\"phase\":\"running\",\"done\":0,\"running\":4}",
          "j-3", "{\"ref\":\"j-3\",\"phase\":\"running\",\"done\":0,\"running\":2}",
          "j-4", "{\"ref\":\"j-4\",\"phase\":\"done\",\"done\":2,\"running\":0}",
          "j-5", "{\"ref\":\"j-5\",\"phase\":\"queued\",\"done\":0,\"running\":0,\"awaited\":1}",
          "j-6", "{\"ref\":\"j-6\",\"phase\":\"cancelled\",\"done\":0,\"running\":0}",
          "j-7", "{\"ref\":\"j-7\",\"phase\":\"running\",\"done\":0,\"running\":40}");

  /** A store without losses, and one restored after a loss, with all jobs in a block. */
  @ParameterizedTest
  @ValueSource(strings = {STORE, RESTORED})
  void newLeaderLoadsStoredJobs(String name) throws IOException {
    Map<String, ObjectNode> values = store(name);
    SimulatedCluster cluster = new SimulatedCluster(OperatorSettings.DEFAULTS);
    load(cluster, values);
    cluster.awaitLeader(4);
    ANSWERS.forEach(
        (ref, body) ->
            assertThat(new String(cluster.poll(1, ref).body(), StandardCharsets.UTF_8))
                .as(ref)
                .isEqualTo(body));
    assertThat(cluster.poll(0, "j-8").status()).isEqualTo(404);
  }

  /** Writes all values except the leader's key, whose lease is gone, in one transaction. */
  private static void load(SimulatedCluster cluster, Map<String, ObjectNode> values) {
    ObjectNode transaction = Json.object();
    transaction.putArray("when");
    List<String> keys = values.keySet().stream().filter(key -> !key.equals("steward")).toList();
    for (String key : keys) {
      transaction.withArray("apply").addObject().put("write", key).set("v", values.get(key));
    }
    int limit = cluster.store.maxTransactionOperations();
    cluster.store.setMaxTransactionOperations(keys.size());
    assertThat(
            cluster
                .await(cluster.store.handle("POST", "/commit", Json.bytes(transaction)))
                .status())
        .isEqualTo(200);
    cluster.store.setMaxTransactionOperations(limit);
  }
}
