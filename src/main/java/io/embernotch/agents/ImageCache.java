package io.embernotch.agents;

import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;

/**
 * Models the image cache of each machine in {@link Machine#images}. Images are evicted by the
 * agent's own rule, least recently used first.
 */
final class ImageCache {
  /** Most images that are kept for a machine, whatever their size. */
  private static final int MAX_IMAGES = 32;

  private final ClusterState state;

  ImageCache(ClusterState state) {
    this.state = state;
  }

  /**
   * Records that the machine has the job's image, and evicts the least recently used images that no
   * longer fit.
   */
  void recordUse(Machine machine, JobSpec spec) {
    machine.images.remove(spec.image());
    machine.images.add(spec.image());
    state.imageGb.put(spec.image(), spec.imageGb());
    double usedGb = machine.images.stream().mapToDouble(this::sizeGb).sum();
    while (machine.images.size() > 1 && isOverLimit(machine, usedGb)) {
      String leastRecentlyUsed = machine.images.iterator().next();
      machine.images.remove(leastRecentlyUsed);
      usedGb -= sizeGb(leastRecentlyUsed);
    }
  }

  /**
   * Returns whether an image must be evicted. The machine type is null until the first heartbeat; a
   * cache size of 0 or less is unlimited.
   */
  private static boolean isOverLimit(Machine machine, double usedGb) {
    return machine.images.size() > MAX_IMAGES
        || (machine.type != null && machine.type.cacheGb() > 0 && usedGb > machine.type.cacheGb());
  }

  private double sizeGb(String image) {
    return state.imageGb.getOrDefault(image, 0.0);
  }
}
