package io.embernotch.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/**
 * Compatibility with frames and stored values of the version before job chains, one of each kind.
 * Both versions run side by side during an upgrade, and the previous version closes a connection on
 * receiving an unknown frame.
 */
class PreviousVersionCompatibilityTest {
  private static byte[] file(String name) throws IOException {
    try (InputStream in =
        PreviousVersionCompatibilityTest.class.getResourceAsStream("/former-version/" + name)) {
      return in.readAllBytes();
    }
  }

  private static ObjectNode value(String name) throws IOException {
    return Json.parseObject(file(name));
  }

  @Test
  void framesAreReadAndWrittenByteForByte() throws IOException {
    String[] lines = new String(file("frames.hex"), StandardCharsets.US_ASCII).split("\n");
    assertThat(lines).hasSize(9);
    for (String line : lines) {
      byte[] bytes = HexFormat.of().parseHex(line);
      Frame frame = FrameCodec.decode(ByteBuffer.wrap(bytes, 4, bytes.length - 4).slice());
      assertThat(HexFormat.of().formatHex(FrameCodec.encode(frame))).isEqualTo(line);
    }
  }

  @Test
  void storedValuesDifferOnlyInFieldsThatThePreviousVersionIgnores() throws IOException {
    ObjectNode stored = value("job.json");
    Job job = JobProgressCodec.readJob(stored);
    assertThat(job.spec.dependencies()).isEmpty();
    assertThat(job.eligibleSinceMs).isEqualTo(77);
    int shard = JobProgressCodec.readShardSize(stored);
    assertThat(Json.bytes(JobProgressCodec.writeJob(job, shard))).isEqualTo(Json.bytes(stored));
    JobProgressCodec.readShard(value("run.json"), job, shard, 0);
    assertThat(job.openAttempts.keySet()).containsExactly(3, 8);
    assertThat(job.preferredMachines).containsEntry(3, "n-9");
    assertThat(Json.bytes(JobProgressCodec.writeShard(job, shard, 0)))
        .isEqualTo(Json.bytes(value("run.json")));
    job.finalPhase = JobPhase.CANCELLED;
    job.endedMs = 99;
    ObjectNode ended = JobProgressCodec.writeShard(job, shard, 0);
    assertThat(ended.remove("at").asLong()).isEqualTo(99);
    assertThat(Json.bytes(ended)).isEqualTo(Json.bytes(value("ended.json")));
    // The previous version rewrites an end without its time; the submission time replaces it.
    Job restored = JobProgressCodec.readJob(stored);
    JobProgressCodec.readShard(value("ended.json"), restored, shard, 0);
    assertThat(restored.finalPhase).isEqualTo(JobPhase.CANCELLED);
    assertThat(restored.endedMs).isEqualTo(77);
  }
}
