package io.embernotch.agents;

import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;

/**
 * The leader's model of the image cache of each machine, kept in {@link Machine#images}: it is
 * evicted by the same rule as the agent's own, least recently used first.
 */
final class ImageCache {
  /** Images of a machine that are remembered, whatever their size. */
  private static final int MAX_IMAGES = 32;

  private final ClusterState state;

  ImageCache(ClusterState state) {
    this.state = state;
  }

  /**
   * The machine has the job's image; the least recently used ones that no longer fit are evicted.
   */
  void recordUse(Machine machine, JobSpec spec) {
    machine.images.remove(spec.image());
    machine.images.add(spec.image());
    state.imageGb.put(spec.image(), spec.imageGb());
    double usedGb = machine.images.stream().mapToDouble(this::sizeGb).sum();
    while (machine.images.size() > 1 && isOverLimit(machine, usedGb)) {
      String oldest = machine.images.iterator().next();
      machine.images.remove(oldest);
      usedGb -= sizeGb(oldest);
    }
  }

  /** The type is null until the first heartbeat; a type without a cache size is not limited. */
  private static boolean isOverLimit(Machine machine, double usedGb) {
    return machine.images.size() > MAX_IMAGES
        || (machine.type != null && machine.type.cacheGb() > 0 && usedGb > machine.type.cacheGb());
  }

  private double sizeGb(String image) {
    return state.imageGb.getOrDefault(image, 0.0);
  }
}
