package io.embernotch.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.CloudCodec;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.MachineType;
import io.embernotch.store.Transaction;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Machine types, loaded from the store if a node has written them there, else from the cloud. */
final class MachineTypeCatalog {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);

  /** Store key of the machine types. */
  private static final String KEY = "types";

  private static final int BYTES_PER_KB = 1024;

  private final ControllerContext context;
  private final Runnable onLoaded;
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /**
   * @param onLoaded called each time machine types have been loaded
   */
  MachineTypeCatalog(ControllerContext context, Runnable onLoaded) {
    this.context = context;
    this.onLoaded = onLoaded;
  }

  /** Returns a read-only, live view of the types by name; empty until they are loaded. */
  Map<String, MachineType> types() {
    return Collections.unmodifiableMap(types);
  }

  /** Loads the types, and retries until that succeeds. */
  void load() {
    context
        .store()
        .get(KEY)
        .onComplete(
            read -> {
              if (read.succeeded() && read.result().present()) {
                addAll(CloudCodec.readTypes(read.result().value()));
              } else {
                loadFromCloud();
              }
            });
  }

  /** Writes the loaded types to the store after the store has lost them. */
  void writeToStore() {
    if (!types.isEmpty()) {
      write(List.copyOf(types.values()));
    }
  }

  private void write(List<MachineType> loadedTypes) {
    ObjectNode value = CloudCodec.writeTypes(loadedTypes);
    double limitKb = context.settings().minStoreLimits().valueKb();
    if (Json.bytes(value).length <= limitKb * BYTES_PER_KB) {
      context.store().commit(new Transaction().when(KEY, 0).write(KEY, value));
    }
  }

  private void loadFromCloud() {
    double retryS = context.settings().workers().heartbeatIntervalS() / 3;
    context
        .cloud()
        .types()
        .onSuccess(
            loadedTypes -> {
              addAll(loadedTypes);
              write(loadedTypes);
            })
        .onFailure(failure -> context.timers().after(retryS, this::load));
  }

  private void addAll(List<MachineType> loadedTypes) {
    loadedTypes.forEach(type -> types.put(type.name(), type));
    LOG.info("machine types: {}", types.keySet());
    onLoaded.run();
  }
}
