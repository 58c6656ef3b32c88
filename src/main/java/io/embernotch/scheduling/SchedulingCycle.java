package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.settings.Settings;

/**
 * The state that the classes computing one plan share. An instance lives for one call of {@link
 * Scheduler}.
 *
 * @param settings the settings of the cluster
 * @param now monotonic time in seconds
 * @param wallMs wall-clock time in milliseconds
 * @param plan the builder of the plan
 * @param usage resources that each team uses, including what this plan has placed
 * @param candidates the machines, with the capacity that this plan has not allocated yet
 * @param scaleOutPlanner rents machines
 * @param preemption stops attempts to free capacity
 * @param queueing decides how many short tasks may wait for one booting machine
 * @param spread chooses machines for the replicas of a service
 */
record SchedulingCycle(
    Settings settings,
    double now,
    long wallMs,
    SchedulingPlanBuilder plan,
    QuotaUsage usage,
    CandidateMachines candidates,
    ScaleOutPlanner scaleOutPlanner,
    Preemption preemption,
    BootQueueing queueing,
    TopologySpread spread) {
  /** Waiting time, in worker leases, after which capacity and team quota are kept for a gang. */
  static final double AGED_LEASES = 1;

  private static final double MS_PER_S = 1000.0;

  /**
   * Creates the state from the input, and marks the jobs that are within their teams' guarantees.
   */
  static SchedulingCycle begin(Settings settings, int maxNewMachines, SchedulingInput input) {
    double now = input.now();
    SchedulingPlanBuilder plan = new SchedulingPlanBuilder();
    QuotaUsage usage =
        new QuotaUsage(settings.teams(), input.jobs(), input.possiblyEndedJobs(), now);
    usage.markGuaranteed(input.jobs());
    CandidateMachines candidates =
        CandidateMachines.of(
            input.machines(),
            machine -> Scheduler.usable(machine, now, settings),
            now,
            input.reservations());
    input
        .expected()
        .forEach(expected -> candidates.add(expected, input.types().get(expected.type())));
    return new SchedulingCycle(
        settings,
        now,
        input.wallMs(),
        plan,
        usage,
        candidates,
        new ScaleOutPlanner(input.types(), input.pools(), candidates, maxNewMachines),
        new Preemption(settings, candidates, plan, now),
        new BootQueueing(input.jobs(), input.types()),
        new TopologySpread(candidates, input.risk()));
  }

  /** How long a job has waited since it could first start, in worker leases. */
  double waitedLeases(Job job) {
    return (wallMs - job.eligibleSinceMs) / MS_PER_S / settings.workers().leaseS();
  }

  /** Whether a job has waited so long that capacity, and its team's quota, are kept for it. */
  boolean aged(Job job) {
    return waitedLeases(job) > AGED_LEASES;
  }

  /** Records that tasks of a job wait because the team's quota is used up or kept for a gang. */
  void recordQuotaWait(Job job, int tasks) {
    String gang = usage.keptForGang(job.spec.team());
    WaitReason reason = gang == null ? WaitReason.QUOTA : WaitReason.QUOTA_KEPT_FOR_GANG;
    plan.recordWait(job, tasks, reason, gang);
  }

  /**
   * Records that tasks of a job wait for capacity, {@code claimed} of them for capacity that is
   * already claimed for them.
   */
  void recordCapacityWait(Job job, int tasks, int claimed) {
    WaitReason none =
        candidates.anyAccumulating() ? WaitReason.GANG_ACCUMULATION : WaitReason.NO_CAPACITY;
    plan.recordWait(job, tasks, claimed >= tasks ? WaitReason.CAPACITY_COMING : none, null);
  }
}
