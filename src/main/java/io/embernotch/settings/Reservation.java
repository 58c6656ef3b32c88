package io.embernotch.settings;

import io.embernotch.model.JobSpec;
import java.util.List;
import java.util.Map;

/**
 * Capacity that only some work may begin on. How much: what that work holds, and free beside it the
 * larger of what is missing to a fixed amount, and of a share of what it holds plus some deviations
 * of what comes of it in a boot time.
 *
 * @param serves the work: any of these
 * @param machines whole machines; 0: slices of machines, by the amounts
 * @param types machine types, empty for any
 * @param zones least share of the free part in a zone, by zone
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

  public boolean serves(JobSpec job) {
    for (Selector selector : serves) {
      if (selector.matches(job)) {
        return true;
      }
    }
    return false;
  }

  public boolean allowsType(String type) {
    return types.isEmpty() || types.contains(type);
  }

  /**
   * It is given as an amount, which is restored by stopping others where no machine is to be had.
   */
  public boolean fixed() {
    return machines > 0 || cpus > 0 || gpus > 0 || memGb > 0;
  }
}
