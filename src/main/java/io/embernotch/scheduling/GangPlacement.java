package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.scheduling.CandidateMachines.Capacity;
import java.util.ArrayList;
import java.util.List;

/** Places gangs: all tasks of one start together, or none does. */
final class GangPlacement {
  private final SchedulingCycle cycle;
  private final CapacityAllocator allocator;
  private final ZoneSelector zoneSelector;

  GangPlacement(SchedulingCycle cycle, CapacityAllocator allocator, ZoneSelector zoneSelector) {
    this.cycle = cycle;
    this.allocator = allocator;
    this.zoneSelector = zoneSelector;
  }

  /**
   * Starts a gang if there is free capacity for all of its tasks; otherwise claims capacity for
   * them, so that later jobs do not take it.
   */
  void place(Job job) {
    JobSpec spec = job.spec;
    if (!job.openAttempts.isEmpty()) {
      return;
    }
    if (cycle.usage().remainingTasks(spec) < spec.tasks()) {
      cycle.recordQuotaWait(job, spec.tasks());
      if (cycle.aged(job)) {
        // Otherwise smaller jobs of its team would use up the quota for as long as any are
        // submitted.
        cycle.usage().keepFor(spec);
      }
      return;
    }
    String bestZone = spec.oneZone() ? zoneSelector.bestZone(spec, spec.tasks()) : null;
    if (start(job, bestZone) || (spec.oneZone() && startInOtherZone(job, bestZone))) {
      cycle.usage().add(spec, spec.tasks());
      return;
    }
    cycle.usage().keepFor(spec);
    if (spec.oneZone() && bestZone == null) {
      cycle.recordCapacityWait(job, spec.tasks(), 0);
      return;
    }
    ZoneConstraints zones = new ZoneConstraints(spec, bestZone);
    int claimed =
        allocator.allocate(
            Capacity.FREE,
            AllocationRequest.of(spec, spec.tasks(), zones),
            AllocationListener.CLAIM_ONLY);
    claimed += allocator.claimLater(job, spec.tasks() - claimed, zones);
    cycle.recordCapacityWait(job, spec.tasks(), claimed);
  }

  private boolean startInOtherZone(Job job, String triedZone) {
    JobSpec spec = job.spec;
    for (String zone : cycle.settings().zones()) {
      if (!zone.equals(triedZone)
          && (spec.zone() == null || spec.zone().equals(zone))
          && start(job, zone)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Starts the whole gang in a zone, or in any if {@code zone} is null; false if it does not fit.
   */
  private boolean start(Job job, String zone) {
    JobSpec spec = job.spec;
    ZoneConstraints zones = new ZoneConstraints(spec, zone);
    List<CandidateMachine> hosts =
        cycle
            .candidates()
            .ranked(
                Capacity.FREE,
                spec,
                candidate -> zones.remaining(candidate.zone) > 0,
                candidate -> PlacementScore.of(spec, candidate, zones));
    if (!fits(spec, hosts, new ZoneConstraints(spec, zone))) {
      return false;
    }
    List<SchedulingPlan.Placement> placements = new ArrayList<>();
    for (CandidateMachine host : hosts) {
      int tasks =
          zones.limit(host.zone, host.taskCapacity(spec, false), spec.tasks() - placements.size());
      if (tasks > 0) {
        CapacityAllocator.allocateOn(host, spec, tasks, zones);
        for (int i = 0; i < tasks; i++) {
          placements.add(new SchedulingPlan.Placement(placements.size(), host.machine));
        }
      }
    }
    cycle.plan().start(new SchedulingPlan.Start(job, placements));
    return true;
  }

  private static boolean fits(JobSpec spec, List<CandidateMachine> hosts, ZoneConstraints zones) {
    int fitting = 0;
    for (CandidateMachine host : hosts) {
      int tasks = zones.limit(host.zone, host.taskCapacity(spec, false), spec.tasks() - fitting);
      zones.add(host.zone, tasks);
      fitting += tasks;
    }
    return fitting >= spec.tasks();
  }
}
