package io.embernotch.leader;

import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.peer.Frame;
import java.util.List;
import java.util.Map;

/**
 * The images that each machine has, as a leader last published them. Agents do not report them, so
 * without this inventory all images would be fetched again after each failover. The leader
 * publishes them to the other controllers ({@link ImageInventoryPublisher}). They only affect where
 * tasks start fastest, so a lost update does no harm.
 */
public final class ImageInventory {
  private final Map<String, List<String>> imagesByMachine;
  private long epoch;

  /**
   * Creates an empty inventory.
   *
   * @param maxMachines maximum number of machines; bounds the memory that removed machines take
   *     whose removal was not received
   */
  public ImageInventory(int maxMachines) {
    imagesByMachine = new LeastRecentlyUsed<>(maxMachines);
  }

  /** Stores the images of a machine; ignores an update of an earlier epoch than the last one. */
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

  /** Names of the images of the machine, least recently used first; empty if none are known. */
  public List<String> of(String machine) {
    return imagesByMachine.getOrDefault(machine, List.of());
  }
}
