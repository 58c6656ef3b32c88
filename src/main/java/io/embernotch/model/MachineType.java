package io.embernotch.model;

import java.util.List;

/**
 * A type of machine as the cloud offers it: amounts of one machine, prices per hour, seconds and
 * gigabytes.
 */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  public boolean fits(JobSpec job) {
    return job.cpus() <= cpus && job.gpus() <= gpus && job.memGb() <= memGb;
  }

  public double fetchS(JobSpec job) {
    return fetchGbPerS > 0 ? job.imageGb() / fetchGbPerS : 0;
  }
}
