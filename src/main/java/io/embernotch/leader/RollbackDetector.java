package io.embernotch.leader;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;
import io.embernotch.state.JobKnowledge;
import io.embernotch.store.VersionedEntry;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Detects a rollback of the store by comparing what agents report with what the leader has loaded.
 * Job keys are never deleted, and are written before any task of the job starts. So a task of a job
 * that the store does not hold shows that the store was rolled back to an earlier revision.
 * Confined to the leader's event loop.
 */
final class RollbackDetector {
  private final ControllerContext context;
  private final ClusterState state;
  private final Consumer<String> onRollback;

  /** Ids of jobs that agents report, and that are being looked up in the store. */
  private final Set<String> pendingLookups = new HashSet<>();

  /**
   * Creates a detector that has found nothing.
   *
   * @param onRollback receives the evidence of a rollback, for the log
   */
  RollbackDetector(ControllerContext context, ClusterState state, Consumer<String> onRollback) {
    this.context = context;
    this.state = state;
    this.onRollback = onRollback;
  }

  /**
   * Whether each machine that the cloud lists as running has sent a heartbeat, and no job that
   * agents report is still being looked up.
   *
   * @param machinesListed whether the machine list of the cloud has been received
   */
  boolean isCheckComplete(boolean machinesListed) {
    return machinesListed
        && pendingLookups.isEmpty()
        && state.machines.values().stream().noneMatch(RollbackDetector::isRunningWithoutHeartbeat);
  }

  private static boolean isRunningWithoutHeartbeat(Machine machine) {
    return machine.listedUpAt >= 0 && !machine.up();
  }

  /**
   * Looks up the job of a task that a machine reports without an open attempt, unless this leader
   * knows the job.
   *
   * @param ref id of the job
   */
  void unexpectedTaskReported(Machine machine, String ref) {
    if (state.knowledgeOf(ref) == JobKnowledge.NOT_SEEN && pendingLookups.add(ref)) {
      context
          .store()
          .getConfirmed(JobProgressCodec.JOB_PREFIX + ref)
          .onSuccess(entry -> submissionLookedUp(machine, ref, entry))
          .onFailure(failure -> pendingLookups.remove(ref));
    }
  }

  private void submissionLookedUp(Machine machine, String ref, VersionedEntry entry) {
    pendingLookups.remove(ref);
    if (!entry.present()) {
      onRollback.accept(machine.name + " has a task of " + ref + ", which the store does not hold");
    }
  }
}
