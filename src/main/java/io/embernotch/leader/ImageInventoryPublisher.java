package io.embernotch.leader;

import io.embernotch.actor.Clock;
import io.embernotch.model.Machine;
import io.embernotch.peer.Frame;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Publishes to the other controllers which images machines have, once a round at most. */
final class ImageInventoryPublisher {
  /** Hash of the images that were published last, by machine. */
  private final Map<String, Integer> published = new HashMap<>();

  private final double roundS;
  private double lastRoundAt = Clock.NEVER;

  /**
   * @param roundS seconds between two rounds
   */
  ImageInventoryPublisher(double roundS) {
    this.roundS = roundS;
  }

  /** A controller has restarted, and has lost what was published to its former process. */
  void republishAll() {
    published.clear();
  }

  /** The machine is gone; this is published if its images were. */
  void machineRemoved(String machine, long epoch, Consumer<Frame> send) {
    if (published.remove(machine) != null) {
      send.accept(new Frame.ImageInventoryUpdate(epoch, machine, List.of()));
    }
  }

  /** Sends the images of all machines whose images have changed, if a round is due. */
  void publish(Collection<Machine> machines, long epoch, double now, Consumer<Frame> send) {
    if (now - lastRoundAt < roundS) {
      return;
    }
    lastRoundAt = now;
    for (Machine machine : machines) {
      int hash = machine.images.hashCode();
      Integer before = published.put(machine.name, hash);
      if (before == null ? !machine.images.isEmpty() : before != hash) {
        send.accept(
            new Frame.ImageInventoryUpdate(epoch, machine.name, List.copyOf(machine.images)));
      }
    }
  }
}
