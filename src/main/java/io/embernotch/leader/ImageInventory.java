package io.embernotch.leader;

import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.model.Machine;
import io.embernotch.peer.Frame;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Which images machines have. Workers do not report it, so a new leader used to know of none, and
 * had them fetched anew after each change of leadership. The leader tells the other controllers;
 * nothing depends on it but where tasks start fastest, so what is lost on the way does no harm.
 */
public final class ImageInventory {
  private final Map<String, List<String>> known;
  private long epoch;

  /**
   * @param most machines to remember; those whose end was lost on the way must not fill memory
   */
  public ImageInventory(int most) {
    known = new LeastRecentlyUsed<>(most);
  }

  /** What a leader of that epoch says; one that follows starts from what the last one said. */
  public void update(Frame.ImageInventoryUpdate f) {
    if (f.epoch() < epoch) {
      return;
    }
    epoch = f.epoch();
    if (f.images().isEmpty()) {
      known.remove(f.machine());
    } else {
      known.put(f.machine(), f.images());
    }
  }

  public List<String> of(String machine) {
    return known.getOrDefault(machine, List.of());
  }

  /** What a leader has told the others, each machine at most once a round. */
  public static final class Publisher {
    private final Map<String, Integer> told = new HashMap<>();
    private final double everyS;
    private double lastAt = -1e9;

    Publisher(double everyS) {
      this.everyS = everyS;
    }

    /** Another incarnation of a controller knows nothing of what the one before was told. */
    void republishAll() {
      told.clear();
    }

    void machineRemoved(String machine, long epoch, Consumer<Frame> send) {
      if (told.remove(machine) != null) {
        send.accept(new Frame.ImageInventoryUpdate(epoch, machine, List.of()));
      }
    }

    void publish(Collection<Machine> machines, long epoch, double now, Consumer<Frame> send) {
      if (now - lastAt < everyS) {
        return;
      }
      lastAt = now;
      for (Machine machine : machines) {
        int hash = machine.images.hashCode();
        Integer before = told.put(machine.name, hash);
        if (before == null ? !machine.images.isEmpty() : before != hash) {
          send.accept(
              new Frame.ImageInventoryUpdate(epoch, machine.name, List.copyOf(machine.images)));
        }
      }
    }
  }
}
