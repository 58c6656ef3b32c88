package io.embernotch.codec;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.Attempt;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.JobSpec;
import io.embernotch.model.TaskState;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** JSON codecs: written values are read back unchanged, and errors name the malformed field. */
class CodecTest {
  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static JobSpec read(String json) {
    return JobCodec.read(Json.parseObject(utf8(json)));
  }

  @Test
  void submissionIsReadBackUnchanged() {
    JobSpec spec = read(job("j-1", "group", 4).replace("\"flavors\":null", "\"flavors\":[\"g8\"]"));
    assertThat(JobCodec.read(JobCodec.write(spec))).isEqualTo(spec);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"shards\":2 | \"shards\":0 | shards",
        "\"shards\":2 | \"shards\":100001 | shards",
        "\"shards\":2 | \"shards\":1.5 | shards",
        "\"shards\":2 | \"shards\":\"2\" | shards",
        "\"cores\":4.0 | \"cores\":-1 | cores",
        "\"cores\":4.0 | \"cores\":\"x\" | cores",
        "\"cores\":4.0 | \"other\":1 | cores",
        "\"shape\":\"array\" | \"shape\":\"ring\" | shape",
        "\"rank\":\"standard\" | \"rank\":\"vip\" | rank",
        "\"loaner\":true | \"loaner\":1 | loaner",
        "\"flavors\":null | \"flavors\":[] | flavors",
        "\"flavors\":null | \"flavors\":[3] | flavors",
        "\"ref\":\"j-1\" | \"ref\":\"x/../y\" | ref",
        "\"due_s\":null | \"due_s\":true | due_s"
      })
  void errorNamesTheMalformedField(String good, String bad, String field) {
    String json = job("j-1", "array", 2);
    assertThat(json).contains(good);
    assertThatThrownBy(() -> read(json.replace(good, bad)))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContaining(field);
  }

  @Test
  void nonObjectsAreRejected() {
    for (String text : new String[] {"", "[]", "3", "{", "{}x", "null"}) {
      assertThatThrownBy(() -> Json.parseObject(utf8(text)))
          .as(text)
          .isInstanceOf(MalformedInputException.class);
    }
  }

  @Test
  void readsAHeartbeat() {
    Heartbeat heartbeat =
        WorkerCodec.read(
            utf8(
                "{\"hearth\":\"n-1\",\"address\":\"10.1.0.2:9000\",\"flavor\":\"g8\",\"room\":\"a\",\"loaner\":true,"
                    + "\"tenure\":2,\"tick\":88,\"baton\":41,\"new_field\":1,\"shards\":["
                    + "{\"shard\":\"j-4/3\",\"try\":2,\"phase\":\"running\"},"
                    + "{\"shard\":\"j-3/0\",\"try\":1,\"phase\":\"exited\",\"cause\":\"halted\",\"stored\":true}]}"));
    assertThat(heartbeat.reclaimInS()).isNull();
    assertThat(heartbeat.tasks().get(0).state()).isEqualTo(TaskState.RUNNING);
    assertThat(heartbeat.tasks().get(1).cause()).isEqualTo(ExitCause.STOPPED);
    assertThat(heartbeat.tasks().get(1).saved()).isTrue();
    assertThat(heartbeat.isNewerThan(2, 87)).isTrue();
    assertThat(heartbeat.isNewerThan(2, 88)).isFalse();
    assertThat(heartbeat.isNewerThan(3, 1)).isFalse();
  }

  @Test
  void progressOfTheLargestJobFitsIntoShards() {
    JobSpec spec = read(job("j-1", "array", 100_000));
    Job job = new Job(spec, 1);
    int size = JobProgressCodec.shardSize(8, java.util.List.of("a-rather-long-zone"));
    job.done.set(0, 100_000);
    for (int task = 0; task < 2 * size; task++) {
      Attempt attempt = new Attempt(job, task, 1L << 50, "n-000123456", "a-rather-long-zone", 0);
      job.openAttempts.put(task, attempt);
    }
    assertThat(Json.bytes(JobProgressCodec.writeShard(job, size, 1)).length)
        .isLessThanOrEqualTo(8 * 1024);
    assertThat(Json.bytes(JobProgressCodec.writeShard(job, size, 0)).length)
        .isLessThanOrEqualTo(8 * 1024);
  }

  @Test
  void progressIsReadBackUnchanged() {
    JobSpec spec = read(job("j-1", "array", 10));
    Job job = new Job(spec, 77);
    job.done.set(1);
    job.done.set(7);
    job.nextAttempt = 5;
    job.openAttempts.put(3, new Attempt(job, 3, 4, "n-1", "z1", 9));
    job.openAttempts.put(8, new Attempt(job, 8, 4, "n-2", "z2", 9));
    job.preferredMachines.put(3, "n-9");
    Job restored = JobProgressCodec.readJob(JobProgressCodec.writeJob(job, 4));
    for (int shard = 0; shard < 3; shard++) {
      JobProgressCodec.readShard(JobProgressCodec.writeShard(job, 4, shard), restored, 4, shard);
    }
    assertThat(restored.submittedMs).isEqualTo(77);
    assertThat(restored.done).isEqualTo(job.done);
    assertThat(restored.openAttempts.keySet()).containsExactly(3, 8);
    assertThat(restored.openAttempts.get(8).zone).isEqualTo("z2");
    assertThat(restored.preferredMachines).containsEntry(3, "n-9");
    job.finalPhase = JobPhase.CANCELLED;
    ObjectNode json = JobProgressCodec.writeShard(job, 4, 0);
    assertThat(JobProgressCodec.readEnd(json)).isEqualTo(JobPhase.CANCELLED);
  }

  @Test
  void malformedHeartbeatIsRejected() {
    for (String body : new String[] {"{\"hearth\":", "{\"hearth\":\"n-1\"}", "[]"}) {
      assertThatThrownBy(() -> WorkerCodec.read(utf8(body)))
          .isInstanceOf(MalformedInputException.class);
    }
  }
}
