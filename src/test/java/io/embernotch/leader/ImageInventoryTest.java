package io.embernotch.leader;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Machine;
import io.embernotch.peer.Frame;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The images of machines that the leader publishes, and what a follower stores of them. */
class ImageInventoryTest {
  @Test
  void followerStoresPublishedImagesUntilTheMachineIsRemoved() {
    ImageInventory follower = new ImageInventory(4);
    ImageInventoryPublisher publisher = new ImageInventoryPublisher(5);
    List<Frame> sent = new ArrayList<>();
    Machine machine = new Machine("n-1");
    machine.images.add("a");
    publisher.publish(List.of(machine), 7, 100, sent::add);
    publisher.publish(List.of(machine), 7, 110, sent::add);
    assertThat(sent).hasSize(1);
    machine.images.add("b");
    publisher.publish(List.of(machine), 7, 112, sent::add);
    assertThat(sent).hasSize(1);
    publisher.publish(List.of(machine), 7, 116, sent::add);
    sent.forEach(frame -> follower.update((Frame.ImageInventoryUpdate) frame));
    assertThat(follower.of("n-1")).containsExactly("a", "b");
    // An update of a former leader, with a lower epoch, is ignored.
    follower.update(new Frame.ImageInventoryUpdate(6, "n-1", List.of("old")));
    assertThat(follower.of("n-1")).containsExactly("a", "b");
    // After a restart of a follower everything is published again, although nothing has changed.
    publisher.republishAll();
    ImageInventory restarted = new ImageInventory(4);
    publisher.publish(
        List.of(machine), 7, 122, frame -> restarted.update((Frame.ImageInventoryUpdate) frame));
    assertThat(restarted.of("n-1")).containsExactly("a", "b");
    publisher.machineRemoved(
        "n-1", 7, frame -> follower.update((Frame.ImageInventoryUpdate) frame));
    assertThat(follower.of("n-1")).isEmpty();
  }
}
