package io.embernotch.fleet;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Machine;
import io.embernotch.settings.Settings;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Machines on their way back to the cloud: the answer to a deletion proves them gone. */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final Consumer<Machine> gone;
  private final Set<Machine> leaving = new LinkedHashSet<>();
  private boolean urgentDelete;
  private boolean idleDelete;

  /** {@code gone} is told of each machine that is gone with all that was on it. */
  ScaleIn(ControllerContext context, ClusterState state, Consumer<Machine> gone) {
    this.context = context;
    this.state = state;
    this.gone = gone;
  }

  /** Returns a machine. Nothing more is placed on it, and what is on it ends with it. */
  void release(Machine machine) {
    if (!machine.deleting) {
      machine.deleting = true;
      machine.deleteRetryAt = 0;
      leaving.add(machine);
      if (!machine.openAttempts.isEmpty()) {
        send(context.clock().now());
      }
    }
  }

  void send(double now) {
    boolean urgent =
        leaving.stream()
            .anyMatch(machine -> !machine.openAttempts.isEmpty() && machine.deleteRetryAt <= now);
    // Proofs that tasks wait for are never behind a call that only saves money.
    if (urgent ? urgentDelete : urgentDelete || idleDelete) {
      return;
    }
    List<Machine> batch = new ArrayList<>();
    List<String> names = new ArrayList<>();
    leaving.removeIf(machine -> state.machines.get(machine.name) != machine);
    for (Machine machine : leaving) {
      if (machine.deleteRetryAt <= now
          && batch.size() < Settings.CloudLimits.MAX_DELETE
          && !machine.commandInFlight) {
        batch.add(machine);
        names.add(machine.name);
        machine.deleteRetryAt = Double.MAX_VALUE;
      }
    }
    if (batch.isEmpty()) {
      return;
    }
    deleteBusy(urgent, true);
    context
        .cloud()
        .delete(names, urgent)
        .onComplete(
            r -> {
              deleteBusy(urgent, false);
              if (r.succeeded()) {
                LOG.info("scaled in: {}", names);
                leaving.removeAll(new HashSet<>(batch));
                batch.forEach(gone);
              } else {
                LOG.debug("could not scale in {}: {}", names, r.cause().getMessage());
                batch.forEach(
                    machine ->
                        machine.deleteRetryAt =
                            context.clock().now()
                                + context.settings().workers().heartbeatIntervalS() / 3);
              }
            });
  }

  private void deleteBusy(boolean urgent, boolean busy) {
    if (urgent) {
      urgentDelete = busy;
    } else {
      idleDelete = busy;
    }
  }
}
