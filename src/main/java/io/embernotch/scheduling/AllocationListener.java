package io.embernotch.scheduling;

/** Called for each allocation on a machine. */
interface AllocationListener {
  /** Capacity is claimed, and no task starts on it yet. */
  AllocationListener CLAIM_ONLY = (candidate, tasks) -> {};

  /** So many tasks have been allocated on the machine. */
  void allocated(CandidateMachine candidate, int tasks);
}
