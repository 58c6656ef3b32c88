package io.embernotch.scheduling;

/** Called for each allocation on a machine. */
interface AllocationListener {
  /** Does nothing: capacity is only claimed, and no task starts on it yet. */
  AllocationListener CLAIM_ONLY = (candidate, tasks) -> {};

  /** Called when capacity for {@code tasks} tasks has been allocated on the machine. */
  void allocated(CandidateMachine candidate, int tasks);
}
