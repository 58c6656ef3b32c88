package io.embernotch.persistence;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.Job;
import java.util.List;
import java.util.Optional;

/**
 * A submission as the store keeps it.
 *
 * @param job the job, without progress
 * @param shardSize number of its tasks that are kept in one shard
 */
public record StoredSubmission(Job job, int shardSize) {
  /**
   * Reads the value of a submission key.
   *
   * @throws MalformedInputException if it is none
   */
  public static StoredSubmission read(JsonNode value) {
    return new StoredSubmission(
        JobProgressCodec.readJob(value), JobProgressCodec.readShardSize(value));
  }

  /**
   * The jobs that a submission depends on, whatever else of its value can't be read; empty if they
   * can't either.
   */
  public static Optional<List<String>> readDependencies(JsonNode value) {
    try {
      return Optional.of(JobProgressCodec.readDependencies(value));
    } catch (MalformedInputException e) {
      return Optional.empty();
    }
  }
}
