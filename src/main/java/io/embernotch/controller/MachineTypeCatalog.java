package io.embernotch.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.CloudCodec;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.MachineType;
import io.embernotch.store.Transaction;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Machine types: from the store if another node has learned them, else from the cloud. */
final class MachineTypeCatalog {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final String TYPES = "types";

  private final ControllerContext context;
  private final Map<String, MachineType> types;
  private final Runnable known;

  MachineTypeCatalog(ControllerContext context, Map<String, MachineType> types, Runnable known) {
    this.context = context;
    this.types = types;
    this.known = known;
  }

  /** Tries until they are known. */
  void load() {
    context
        .store()
        .get(TYPES)
        .onComplete(
            r -> {
              if (r.succeeded() && r.result().present()) {
                take(CloudCodec.readTypes(r.result().value()));
              } else {
                askCloud();
              }
            });
  }

  /** Writes them where they were lost. */
  void store() {
    if (!types.isEmpty()) {
      write(List.copyOf(types.values()));
    }
  }

  private void write(List<MachineType> list) {
    ObjectNode value = CloudCodec.writeTypes(list);
    if (Json.bytes(value).length <= context.settings().minStoreLimits().valueKb() * 1024) {
      context.store().commit(new Transaction().when(TYPES, 0).write(TYPES, value));
    }
  }

  private void askCloud() {
    context
        .cloud()
        .types()
        .onSuccess(
            list -> {
              take(list);
              write(list);
            })
        .onFailure(
            e ->
                context
                    .timers()
                    .after(context.settings().workers().heartbeatIntervalS() / 3, this::load));
  }

  private void take(List<MachineType> list) {
    list.forEach(type -> types.put(type.name(), type));
    LOG.info("machine types: {}", types.keySet());
    known.run();
  }
}
