package io.embernotch.model;

import java.util.List;

/**
 * A type of machine that the cloud offers.
 *
 * @param name unique name of the type
 * @param cpus CPUs of one machine
 * @param gpus GPUs of one machine
 * @param memGb memory of one machine in GB
 * @param cacheGb size of its image cache in GB
 * @param fetchGbPerS speed at which it fetches images, in GB per second; 0: not known
 * @param price price per hour
 * @param spotPrice present price of a spot machine per hour
 * @param bootS usual boot time in seconds
 * @param zones names of the zones that offer it
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

  /** Whether one task of a job fits on an empty machine. */
  public boolean fits(JobSpec job) {
    return job.cpus() <= cpus && job.gpus() <= gpus && job.memGb() <= memGb;
  }

  /** Seconds that fetching a job's image takes; 0 if the speed is not known. */
  public double fetchS(JobSpec job) {
    return fetchGbPerS > 0 ? job.imageGb() / fetchGbPerS : 0;
  }
}
