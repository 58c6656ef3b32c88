package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.CandidateMachines.Capacity;
import java.util.PrimitiveIterator;
import java.util.function.Predicate;

/** Places the tasks of arrays and services, each of which may start without the others. */
final class TaskPlacement {
  private final SchedulingCycle cycle;
  private final CapacityAllocator allocator;
  private final ZoneSelector zoneSelector;

  TaskPlacement(SchedulingCycle cycle, CapacityAllocator allocator, ZoneSelector zoneSelector) {
    this.cycle = cycle;
    this.allocator = allocator;
    this.zoneSelector = zoneSelector;
  }

  /** Starts as many pending tasks as find free capacity, and claims capacity for the others. */
  void place(Job job) {
    JobSpec spec = job.spec;
    // One task is enough to test whether a job that fails on every machine still fails.
    int startable = job.isAtFault() ? Math.min(1, job.pendingCount()) : job.pendingCount();
    int wanted = Math.max(0, Math.min(startable, cycle.usage().remainingTasks(spec)));
    cycle.recordQuotaWait(job, startable - wanted);
    if (wanted == 0) {
      return;
    }
    ZoneConstraints zones = ZoneConstraints.of(job);
    if (spec.oneZone() && zones.requiredZone == null) {
      zones.requiredZone = zoneSelector.bestZone(spec, wanted);
    }
    TaskStarts starts = new TaskStarts(job);
    startOnPreferredMachines(job, wanted, zones, starts);
    int onPreferred = starts.count();
    int claimed = 0;
    if (isLostReplica(job)) {
      claimed = placeLostReplicas(spec, wanted - onPreferred, zones, starts);
    }
    allocator.allocate(
        Capacity.FREE,
        AllocationRequest.of(spec, wanted - starts.count() - claimed, zones),
        starts);
    claimed += allocator.claimLater(job, wanted - starts.count() - claimed, zones);
    cycle.usage().add(spec, starts.count() - onPreferred + claimed);
    cycle.recordCapacityWait(job, wanted - starts.count(), claimed);
    if (starts.count() > 0) {
      cycle.plan().start(new SchedulingPlan.Start(job, starts.placements()));
    }
  }

  private static boolean isLostReplica(Job job) {
    return job.spec.priority() == Priority.PRODUCTION
        && job.spec.shape() == JobShape.SERVICE
        && job.restartedTasks.get(job.firstPending());
  }

  /**
   * Places lost replicas on machines that have their image, preempting other work if needed.
   * Fetching the image on another machine is what would keep them down longest.
   *
   * @return for how many replicas capacity is claimed that is not free yet
   */
  private int placeLostReplicas(
      JobSpec spec, int wanted, ZoneConstraints zones, TaskStarts starts) {
    Predicate<CandidateMachine> hasImage = candidate -> candidate.fetchS(spec) == 0;
    AllocationRequest request = AllocationRequest.of(spec, wanted, zones).onlyOn(hasImage);
    int started = allocator.allocate(Capacity.FREE, request, starts);
    int claimed =
        allocator.allocate(
            Capacity.FREEING, request.withWanted(wanted - started), AllocationListener.CLAIM_ONLY);
    return claimed + cycle.preemption().preempt(spec, wanted - started - claimed, zones, hasImage);
  }

  /**
   * Starts tasks on the machines that the straggler detection chose for them, if they still fit.
   */
  private void startOnPreferredMachines(
      Job job, int wanted, ZoneConstraints zones, TaskStarts starts) {
    if (job.preferredMachines.isEmpty()) {
      return;
    }
    PrimitiveIterator.OfInt pending = job.pending();
    while (pending.hasNext() && starts.count() < wanted) {
      int task = pending.nextInt();
      String preferred = job.preferredMachines.get(task);
      if (preferred == null) {
        continue;
      }
      for (CandidateMachine candidate :
          cycle
              .candidates()
              .ranked(
                  Capacity.FREE,
                  job.spec,
                  candidate -> zones.remaining(candidate.zone) > 0,
                  candidate -> 0)) {
        if (candidate.machine.name.equals(preferred)) {
          CapacityAllocator.allocateOn(candidate, job.spec, 1, zones);
          cycle.usage().add(job.spec, 1);
          starts.startOnPreferred(task, candidate.machine);
          break;
        }
      }
    }
  }
}
