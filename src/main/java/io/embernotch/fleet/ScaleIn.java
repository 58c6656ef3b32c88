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

/**
 * Returns machines to the cloud. The response to a deletion proves that a machine is gone; failed
 * deletions are retried.
 */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** Retries of a failed deletion per heartbeat interval. */
  private static final int RETRIES_PER_HEARTBEAT = 3;

  private final ControllerContext context;
  private final ClusterState state;
  private final Consumer<Machine> onDeleted;
  private final Set<Machine> machinesToDelete = new LinkedHashSet<>();
  private boolean urgentDeletePending;
  private boolean idleDeletePending;

  /**
   * @param onDeleted receives each machine that was deleted, with all tasks on it
   */
  ScaleIn(ControllerContext context, ClusterState state, Consumer<Machine> onDeleted) {
    this.context = context;
    this.state = state;
    this.onDeleted = onDeleted;
  }

  /** Returns a machine. No more tasks are placed on it, and its tasks end with it. */
  void returnMachine(Machine machine) {
    if (!machine.deleting) {
      machine.deleting = true;
      machine.deleteRetryAt = 0;
      machinesToDelete.add(machine);
      if (!machine.openAttempts.isEmpty()) {
        sendNextDeletion(context.clock().now());
      }
    }
  }

  /**
   * Sends the next deletion if one is due. Deletions of machines with tasks are urgent: their
   * responses prove that the tasks have ended and may be restarted. They never queue behind the
   * deletion of idle machines, which only saves money.
   */
  void sendNextDeletion(double now) {
    boolean urgent =
        machinesToDelete.stream()
            .anyMatch(machine -> !machine.openAttempts.isEmpty() && machine.deleteRetryAt <= now);
    boolean blocked = urgent ? urgentDeletePending : urgentDeletePending || idleDeletePending;
    if (blocked) {
      return;
    }
    List<Machine> batch = nextBatch(now);
    if (!batch.isEmpty()) {
      delete(batch, urgent);
    }
  }

  private List<Machine> nextBatch(double now) {
    List<Machine> batch = new ArrayList<>();
    machinesToDelete.removeIf(machine -> state.machines.get(machine.name) != machine);
    for (Machine machine : machinesToDelete) {
      if (machine.deleteRetryAt <= now
          && batch.size() < Settings.CloudLimits.MAX_DELETE
          && !machine.commandInFlight) {
        batch.add(machine);
        machine.deleteRetryAt = Double.MAX_VALUE;
      }
    }
    return batch;
  }

  private void delete(List<Machine> batch, boolean urgent) {
    List<String> names = batch.stream().map(machine -> machine.name).toList();
    setDeletePending(urgent, true);
    context
        .cloud()
        .delete(names, urgent)
        .onComplete(
            result -> {
              setDeletePending(urgent, false);
              if (result.succeeded()) {
                LOG.info("scaled in: {}", names);
                machinesToDelete.removeAll(new HashSet<>(batch));
                batch.forEach(onDeleted);
              } else {
                LOG.debug("failed to scale in {}: {}", names, result.cause().getMessage());
                batch.forEach(this::retryLater);
              }
            });
  }

  private void retryLater(Machine machine) {
    machine.deleteRetryAt =
        context.clock().now()
            + context.settings().workers().heartbeatIntervalS() / RETRIES_PER_HEARTBEAT;
  }

  private void setDeletePending(boolean urgent, boolean pending) {
    if (urgent) {
      urgentDeletePending = pending;
    } else {
      idleDeletePending = pending;
    }
  }
}
