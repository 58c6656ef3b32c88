package io.embernotch.testkit;

import java.util.ArrayList;
import java.util.List;

/** Messages that were taken off the network: delayed ones, and copies of those delivered. */
final class MessageBuffer {
  private final List<Runnable> delayed = new ArrayList<>();
  private final List<Runnable> copies = new ArrayList<>();

  /** Keeps a message back; {@code delivery} delivers it. */
  void delay(Runnable delivery) {
    delayed.add(delivery);
  }

  /** Keeps a copy of a message that was delivered. */
  void keepCopy(Runnable delivery) {
    copies.add(delivery);
  }

  int delayedCount() {
    return delayed.size();
  }

  /** Delivers what was delayed, perhaps minutes late. */
  void deliverDelayed() {
    List<Runnable> deliveries = new ArrayList<>(delayed);
    delayed.clear();
    deliveries.forEach(Runnable::run);
  }

  /** Delivers every copy once more. */
  void redeliverCopies() {
    List.copyOf(copies).forEach(Runnable::run);
  }
}
