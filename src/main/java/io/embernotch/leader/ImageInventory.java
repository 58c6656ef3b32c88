package io.embernotch.leader;

import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.peer.Frame;
import java.util.List;
import java.util.Map;

/**
 * Which images machines have, as the last leader published it. Agents do not send it, so a new
 * leader that knew of none would have them fetched anew after each failover. The leader publishes
 * it to the other controllers ({@link ImageInventoryPublisher}); nothing depends on it but where
 * tasks start fastest, so a lost update does no harm.
 */
public final class ImageInventory {
  private final Map<String, List<String>> imagesByMachine;
  private long epoch;

  /**
   * An inventory that knows nothing.
   *
   * @param maxMachines machines to remember; those whose removal was lost must not fill memory
   */
  public ImageInventory(int maxMachines) {
    imagesByMachine = new LeastRecentlyUsed<>(maxMachines);
  }

  /** Stores the images of a machine; ignored if an update of a later epoch has been seen. */
  public void update(Frame.ImageInventoryUpdate update) {
    if (update.epoch() < epoch) {
      return;
    }
    epoch = update.epoch();
    if (update.images().isEmpty()) {
      imagesByMachine.remove(update.machine());
    } else {
      imagesByMachine.put(update.machine(), update.images());
    }
  }

  /** The images that the machine is known to have, least recently used first. */
  public List<String> of(String machine) {
    return imagesByMachine.getOrDefault(machine, List.of());
  }
}
