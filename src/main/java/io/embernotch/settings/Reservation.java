package io.embernotch.settings;

import io.embernotch.model.JobSpec;
import java.util.List;
import java.util.Map;

/**
 * Capacity that only some work may begin on. How much: what that work holds, and as headroom the
 * larger of what is missing to a fixed amount, and of a share of what it holds plus some deviations
 * of its demand within a boot time.
 *
 * @param name unique name
 * @param serves selectors of the work, any of which may match
 * @param machines whole machines; 0: slices of machines, by the amounts
 * @param cpus fixed amount of CPUs
 * @param gpus fixed amount of GPUs
 * @param memGb fixed amount of memory in GB
 * @param share headroom as a share of what the work holds
 * @param deviations headroom in deviations of the work's demand
 * @param types names of the machine types, empty for any
 * @param zones least share of the headroom in a zone, by zone
 */
public record Reservation(
    String name,
    List<Selector> serves,
    int machines,
    double cpus,
    double gpus,
    double memGb,
    double share,
    double deviations,
    List<String> types,
    Map<String, Double> zones) {

  /** Whether a job is part of the work. */
  public boolean serves(JobSpec job) {
    return Selector.anyMatches(serves, job);
  }

  /** Whether machines of a type may be reserved. */
  public boolean allowsType(String type) {
    return types.isEmpty() || types.contains(type);
  }

  /**
   * Whether it is a fixed amount, which is restored by preempting others where no machine is to be
   * had.
   */
  public boolean fixed() {
    return machines > 0 || cpus > 0 || gpus > 0 || memGb > 0;
  }
}
