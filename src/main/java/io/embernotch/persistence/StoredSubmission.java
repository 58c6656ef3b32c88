package io.embernotch.persistence;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.Job;
import java.util.List;
import java.util.Optional;

/**
 * A submission as read from the store.
 *
 * @param job the job, without progress
 * @param shardSize number of the job's tasks per shard
 */
public record StoredSubmission(Job job, int shardSize) {
  /**
   * Decodes the value of a submission key.
   *
   * @throws MalformedInputException if the value is not a valid submission
   */
  public static StoredSubmission read(JsonNode value) {
    return new StoredSubmission(
        JobProgressCodec.readJob(value), JobProgressCodec.readShardSize(value));
  }

  /**
   * Decodes the ids of the jobs that a submission depends on, even if the rest of the value is
   * malformed; empty if the dependencies are malformed too.
   */
  public static Optional<List<String>> readDependencies(JsonNode value) {
    try {
      return Optional.of(JobProgressCodec.readDependencies(value));
    } catch (MalformedInputException e) {
      return Optional.empty();
    }
  }
}
