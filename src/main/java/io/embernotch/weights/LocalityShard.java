package io.embernotch.weights;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The value of one shard: the names of images, and of each machine the indexes of the images that
 * it has. Its size is bounded by an estimate of its bytes.
 */
final class LocalityShard {
  /** The field with the names of the images. */
  static final String IMAGES = "images";

  /** The field with the machines, each with the indexes of its images. */
  static final String MACHINES = "on";

  /** Bytes that a machine takes: its name, and punctuation. */
  private static final int BYTES_PER_MACHINE = 32;

  /** Bytes that an index, or the punctuation of an image's name, takes. */
  private static final int BYTES_PER_INDEX = 3;

  private final ObjectNode value = Json.object();
  private final ArrayNode images = value.putArray(IMAGES);
  private final ObjectNode machines = value.putObject(MACHINES);
  private final Map<String, Integer> indexes = new TreeMap<>();
  private int bytesLeft;

  LocalityShard(int maxBytes) {
    this.bytesLeft = maxBytes;
  }

  /** Adds a machine unless it has no images; false once the shard is full, without the machine. */
  boolean add(String machine, List<String> machineImages) {
    ArrayNode list = Json.object().arrayNode();
    for (String image : machineImages) {
      list.add(index(image));
    }
    if (!list.isEmpty()) {
      bytesLeft -= BYTES_PER_MACHINE + BYTES_PER_INDEX * list.size();
    }
    if (bytesLeft < 0) {
      return false;
    }
    if (!list.isEmpty()) {
      machines.set(machine, list);
    }
    return true;
  }

  private int index(String image) {
    Integer index = indexes.get(image);
    if (index == null) {
      index = indexes.size();
      indexes.put(image, index);
      images.add(image);
      bytesLeft -= image.length() + BYTES_PER_INDEX;
    }
    return index;
  }

  ObjectNode toJson() {
    return value;
  }

  /** Whether an entry says the same; null says the same as a value without machines. */
  static boolean sameContent(ObjectNode stored, ObjectNode value) {
    if (stored == null) {
      return value.path(MACHINES).isEmpty();
    }
    return stored.path(MACHINES).equals(value.path(MACHINES))
        && stored.path(IMAGES).equals(value.path(IMAGES));
  }
}
