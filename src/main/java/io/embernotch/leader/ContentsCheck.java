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
 * Compares what workers report with what the leader has loaded from the store. Job keys are never
 * deleted and are written before any task starts, so a task of a job that the store does not hold
 * shows that the store was put back to an earlier moment. Owned by the leader's event loop.
 */
final class ContentsCheck {
  private final ControllerContext context;
  private final ClusterState state;
  private final Consumer<String> contentsPutBack;

  /** Jobs that are being looked up, since a worker reports tasks of them. */
  private final Set<String> pendingLookups = new HashSet<>();

  /**
   * A check that nothing has contradicted yet.
   *
   * @param contentsPutBack receives what shows that the store was put back
   */
  ContentsCheck(ControllerContext context, ClusterState state, Consumer<String> contentsPutBack) {
    this.context = context;
    this.state = state;
    this.contentsPutBack = contentsPutBack;
  }

  /**
   * Whether each machine that the cloud lists as running was heard, and none has shown that the
   * store was put back.
   *
   * @param machinesListed whether the cloud's list has been received
   */
  boolean isPassed(boolean machinesListed) {
    return machinesListed
        && pendingLookups.isEmpty()
        && state.machines.values().stream().noneMatch(ContentsCheck::isRunningUnheard);
  }

  private static boolean isRunningUnheard(Machine machine) {
    return machine.listedUpAt >= 0 && !machine.up();
  }

  /** A machine reports a task that this leader has no open attempt of. */
  void unexpectedTaskReported(Machine machine, String ref) {
    if (state.knowledgeOf(ref) == JobKnowledge.NOT_SEEN && pendingLookups.add(ref)) {
      context
          .store()
          .getConfirmed(JobProgressCodec.JOB + ref)
          .onSuccess(entry -> submissionRead(machine, ref, entry))
          .onFailure(failure -> pendingLookups.remove(ref));
    }
  }

  private void submissionRead(Machine machine, String ref, VersionedEntry entry) {
    pendingLookups.remove(ref);
    if (!entry.present()) {
      contentsPutBack.accept(
          machine.name + " has a task of " + ref + ", which the store does not hold");
    }
  }
}
