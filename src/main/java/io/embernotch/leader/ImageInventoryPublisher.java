package io.embernotch.leader;

import io.embernotch.actor.Clock;
import io.embernotch.model.Machine;
import io.embernotch.peer.Frame;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Publishes the images of all machines to the other controllers, at most once per round. */
final class ImageInventoryPublisher {
  /** Hash of the last published images, by machine. */
  private final Map<String, Integer> published = new HashMap<>();

  private final double roundS;
  private double lastRoundAt = Clock.NEVER;

  /**
   * @param roundS minimum number of seconds between two rounds
   */
  ImageInventoryPublisher(double roundS) {
    this.roundS = roundS;
  }

  /**
   * Publishes all images again in the next round, because a restarted controller has lost what its
   * former process received.
   */
  void republishAll() {
    published.clear();
  }

  /** Publishes the removal of a machine, if its images were published. */
  void machineRemoved(String machine, long epoch, Consumer<Frame> send) {
    if (published.remove(machine) != null) {
      send.accept(new Frame.ImageInventoryUpdate(epoch, machine, List.of()));
    }
  }

  /**
   * Publishes the images of all machines whose images have changed, if a round is due.
   *
   * @param now seconds of the monotonic clock
   */
  void publish(Collection<Machine> machines, long epoch, double now, Consumer<Frame> send) {
    if (now - lastRoundAt < roundS) {
      return;
    }
    lastRoundAt = now;
    for (Machine machine : machines) {
      int hash = machine.images.hashCode();
      Integer previousHash = published.put(machine.name, hash);
      if (previousHash == null ? !machine.images.isEmpty() : previousHash != hash) {
        send.accept(
            new Frame.ImageInventoryUpdate(epoch, machine.name, List.copyOf(machine.images)));
      }
    }
  }
}
