package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;

/** Places jobs, each in the way that its shape requires. */
final class JobPlacement {
  private final SchedulingCycle cycle;
  private final TaskPlacement tasks;
  private final GangPlacement gangs;

  JobPlacement(SchedulingCycle cycle, CapacityAllocator allocator) {
    this.cycle = cycle;
    ZoneSelector zoneSelector = new ZoneSelector(cycle);
    this.tasks = new TaskPlacement(cycle, allocator, zoneSelector);
    this.gangs = new GangPlacement(cycle, allocator, zoneSelector);
  }

  /**
   * Places the pending tasks of a job; if that throws, the job is left out of the rest of the plan.
   */
  void place(Job job) {
    cycle.plan().attempt(job, () -> placeUnlessDelayed(job));
  }

  /** Places the pending tasks of a job, unless none of them may start yet. */
  private void placeUnlessDelayed(Job job) {
    if (Math.max(job.backoffUntil, job.notBefore) > cycle.now()) {
      cycle.plan().recordWait(job, job.pendingCount(), WaitReason.DELAYED, null);
      return;
    }
    if (job.spec.shape() == JobShape.GANG) {
      gangs.place(job);
    } else {
      tasks.place(job);
    }
  }
}
