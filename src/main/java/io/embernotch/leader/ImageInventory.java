package io.embernotch.steward;

import io.embernotch.env.Recent;
import io.embernotch.model.Machine;
import io.embernotch.peer.Frame;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Which images machines have. Workers do not report it, so a new steward used to know of none, and
 * had them fetched anew after each change of leadership. The steward tells the other controllers;
 * nothing depends on it but where tasks start fastest, so what is lost on the way does no harm.
 */
final class ImageNews {
  private final Map<String, List<String>> known;
  private long epoch;

  /**
   * @param most machines to remember; those whose end was lost on the way must not fill memory
   */
  ImageNews(int most) {
    known = new Recent<>(most);
  }

  /** What a steward of that epoch says; one that follows starts from what the last one said. */
  void heard(Frame.Images f) {
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

  List<String> of(String machine) {
    return known.getOrDefault(machine, List.of());
  }

  /** What a steward has told the others, each machine at most once a round. */
  static final class Teller {
    private final Map<String, Integer> told = new HashMap<>();
    private final double everyS;
    private double lastAt = -1e9;

    Teller(double everyS) {
      this.everyS = everyS;
    }

    /** Another life of a controller knows nothing of what the one before was told. */
    void again() {
      told.clear();
    }

    void gone(String machine, long epoch, Consumer<Frame> send) {
      if (told.remove(machine) != null) {
        send.accept(new Frame.Images(epoch, machine, List.of()));
      }
    }

    void tell(Collection<Machine> machines, long epoch, double now, Consumer<Frame> send) {
      if (now - lastAt < everyS) {
        return;
      }
      lastAt = now;
      for (Machine m : machines) {
        int hash = m.images.hashCode();
        Integer before = told.put(m.name, hash);
        if (before == null ? !m.images.isEmpty() : before != hash) {
          send.accept(new Frame.Images(epoch, m.name, List.copyOf(m.images)));
        }
      }
    }
  }
}
