package io.embernotch.leader;

import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.peer.Frame;
import java.util.List;
import java.util.Map;

/**
 * Which images machines have, as the last leader told. Agents do not report it, so a new leader
 * that knew of none would have them fetched anew after each failover. The leader tells the other
 * controllers ({@link ImageInventoryPublisher}); nothing depends on it but where tasks start
 * fastest, so what is lost on the way does no harm.
 */
public final class ImageInventory {
  private final Map<String, List<String>> imagesByMachine;
  private long epoch;

  /**
   * An inventory that knows nothing.
   *
   * @param maxMachines machines to remember; those whose removal was lost on the way must not fill
   *     memory
   */
  public ImageInventory(int maxMachines) {
    imagesByMachine = new LeastRecentlyUsed<>(maxMachines);
  }

  /** What a leader says of a machine; dropped if a leader of a later epoch has been heard. */
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
