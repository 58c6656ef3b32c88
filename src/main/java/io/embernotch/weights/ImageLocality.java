package io.embernotch.weights;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.Machine;
import io.embernotch.scheduling.MachineTypes;
import io.embernotch.shared.SharedState;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which machines have the weights of live services, handed to the next leader through the store:
 * what controllers send each other of images is lost when all of them end. It is kept only where it
 * pays: for images of services whose fetch takes longer than a heartbeat interval. A few shards are
 * written one after the other, so it is never a burst. What is stale costs a fetch and nothing
 * else: a worker fetches what it lacks, whatever the leader believes.
 *
 * <p>Not thread-safe: it belongs to the event loop of one leader.
 */
public final class ImageLocality {
  /** Prefix of the entries' names; the shard's number follows. */
  private static final String PREFIX = "weights/";

  private static final int SHARDS = 8;

  /** Heartbeat intervals between the writing of two shards. */
  private static final double WRITE_INTERVALS = 1;

  /** A shard may take this share of the largest value that the store takes. */
  private static final int MAX_VALUE_NUMERATOR = 3;

  private static final int MAX_VALUE_DENOMINATOR = 4;
  private static final int BYTES_PER_KB = 1024;

  private final ControllerContext context;
  private final ClusterState state;
  private final SharedState shared;

  /** Images by machine name, as a former leader knew them. */
  private final Map<String, List<String>> imagesByMachine = new HashMap<>();

  /** The shard that was written last, and when, in seconds of the monotonic clock. */
  private int shard;

  private double writtenAt;

  /**
   * Creates the image locality of one leader.
   *
   * @param context the settings
   * @param state the cluster, whose machines' images are kept
   * @param shared where they are stored
   */
  public ImageLocality(ControllerContext context, ClusterState state, SharedState shared) {
    this.context = context;
    this.state = state;
    this.shared = shared;
  }

  /** Takes over what a former leader knew, once the shared state has been read. */
  public void load() {
    imagesByMachine.clear();
    shared.storedValues(PREFIX).values().forEach(this::addShard);
  }

  private void addShard(ObjectNode entry) {
    JsonNode images = entry.path(LocalityShard.IMAGES);
    entry
        .path(LocalityShard.MACHINES)
        .fields()
        .forEachRemaining(
            machine -> imagesByMachine.put(machine.getKey(), names(images, machine.getValue())));
  }

  private static List<String> names(JsonNode images, JsonNode indexes) {
    List<String> names = new ArrayList<>();
    for (JsonNode index : indexes) {
      if (index.asInt() >= 0 && index.asInt() < images.size()) {
        names.add(images.get(index.asInt()).asText());
      }
    }
    return names;
  }

  /** The images that a former leader knew a machine to have; empty if none are known. */
  public List<String> of(String machine) {
    return imagesByMachine.getOrDefault(machine, List.of());
  }

  /**
   * Has the next shard written if it has changed and enough time has passed. Called regularly.
   *
   * @param now seconds of the monotonic clock
   */
  public void tick(double now) {
    if (now - writtenAt < WRITE_INTERVALS * context.settings().workers().heartbeatIntervalS()) {
      return;
    }
    writtenAt = now;
    shard = (shard + 1) % SHARDS;
    String name = PREFIX + shard;
    ObjectNode value = currentShard().toJson();
    if (!LocalityShard.sameContent(shared.get(name), value) && !shared.hasPendingChange(name)) {
      shared.put(name, value, () -> {});
    }
  }

  /** The images of live services whose fetch takes longer than a heartbeat interval. */
  private Set<String> imagesWorthKeeping() {
    Set<String> images = new HashSet<>();
    for (Job job : state.jobs.values()) {
      if (job.spec.shape() == JobShape.SERVICE
          && job.finalPhase == null
          && !images.contains(job.spec.image())
          && MachineTypes.shortestFetchS(state.types.values(), job.spec)
              > context.settings().workers().heartbeatIntervalS()) {
        images.add(job.spec.image());
      }
    }
    return images;
  }

  private LocalityShard currentShard() {
    Set<String> worthKeeping = imagesWorthKeeping();
    int maxBytes =
        (int)
            (context.settings().minStoreLimits().valueKb()
                * BYTES_PER_KB
                * MAX_VALUE_NUMERATOR
                / MAX_VALUE_DENOMINATOR);
    LocalityShard current = new LocalityShard(maxBytes);
    for (Machine machine : state.machines.values()) {
      if (Math.floorMod(machine.name.hashCode(), SHARDS) != shard || machine.deleting) {
        continue;
      }
      List<String> images = machine.images.stream().filter(worthKeeping::contains).toList();
      if (!current.add(machine.name, images)) {
        break;
      }
    }
    return current;
  }
}
