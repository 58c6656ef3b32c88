package io.embernotch.weights;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.shared.SharedState;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which machines have the weights of live services, handed to the next leader through the store:
 * what controllers tell each other of images is gone when all of them end. Only where it pays:
 * images of services whose fetch takes longer than a heartbeat interval. A few shards are written
 * in turn, one at a time, so it is never a burst. What is stale costs a fetch and nothing else: a
 * worker fetches what it lacks, whatever we believe.
 */
public final class ImageLocality {
  private static final String PREFIX = "weights/";
  private static final int SHARDS = 8;

  /** Report periods between two shards. */
  private static final double PERIODS = 1;

  /** Bytes that a machine takes in a shard: its name, a few numbers. */
  private static final int BYTES_PER_MACHINE = 32;

  private final ControllerContext context;
  private final ClusterState state;
  private final SharedState shared;
  private final Map<String, List<String>> known = new HashMap<>();
  private int shard;
  private double writtenAt;

  public ImageLocality(ControllerContext context, ClusterState state, SharedState shared) {
    this.context = context;
    this.state = state;
    this.shared = shared;
  }

  /** The shared facts have been read. */
  public void load() {
    known.clear();
    shared.all(PREFIX).values().forEach(this::read);
  }

  private void read(ObjectNode o) {
    JsonNode images = o.path("images");
    o.path("on")
        .fields()
        .forEachRemaining(
            e -> {
              List<String> on = new ArrayList<>();
              e.getValue()
                  .forEach(
                      i -> {
                        if (i.asInt() >= 0 && i.asInt() < images.size()) {
                          on.add(images.get(i.asInt()).asText());
                        }
                      });
              known.put(e.getKey(), on);
            });
  }

  /** What a former leader knew a machine to have. */
  public List<String> of(String machine) {
    return known.getOrDefault(machine, List.of());
  }

  public void tick(double now) {
    if (now - writtenAt < PERIODS * context.settings().workers().heartbeatIntervalS()) {
      return;
    }
    writtenAt = now;
    shard = (shard + 1) % SHARDS;
    String name = PREFIX + shard;
    ObjectNode value = shard(shard, worthKeeping());
    ObjectNode there = shared.get(name);
    boolean same =
        there == null
            ? value.path("on").isEmpty()
            : there.path("on").equals(value.path("on"))
                && there.path("images").equals(value.path("images"));
    if (!same && !shared.pending(name)) {
      shared.put(name, value, () -> {});
    }
  }

  private Set<String> worthKeeping() {
    Set<String> out = new HashSet<>();
    for (Job job : state.jobs.values()) {
      if (job.spec.shape() == JobShape.SERVICE
          && job.finalPhase == null
          && !out.contains(job.spec.image())) {
        double fetchS =
            state.types.values().stream()
                .filter(type -> type.fits(job.spec))
                .mapToDouble((MachineType type) -> type.fetchS(job.spec))
                .min()
                .orElse(0);
        if (fetchS > context.settings().workers().heartbeatIntervalS()) {
          out.add(job.spec.image());
        }
      }
    }
    return out;
  }

  private ObjectNode shard(int k, Set<String> worth) {
    ObjectNode o = Json.object();
    ArrayNode images = o.putArray("images");
    ObjectNode on = o.putObject("on");
    Map<String, Integer> numbers = new TreeMap<>();
    int left = (int) (context.settings().minStoreLimits().valueKb() * 1024 * 3 / 4);
    for (Machine machine : state.machines.values()) {
      if (Math.floorMod(machine.name.hashCode(), SHARDS) != k || machine.deleting) {
        continue;
      }
      ArrayNode list = null;
      for (String image : machine.images) {
        if (worth.contains(image)) {
          Integer number = numbers.get(image);
          if (number == null) {
            number = numbers.size();
            numbers.put(image, number);
            images.add(image);
            left -= image.length() + 3;
          }
          list = list == null ? Json.object().arrayNode() : list;
          list.add(number);
        }
      }
      left -= list == null ? 0 : BYTES_PER_MACHINE + 3 * list.size();
      if (left < 0) {
        break;
      }
      if (list != null) {
        on.set(machine.name, list);
      }
    }
    return o;
  }
}
