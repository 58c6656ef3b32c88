package io.embernotch.scheduling;

import io.embernotch.settings.Settings;

/**
 * The working state of one plan, shared by the classes that make it. It lives for one call of
 * {@link Scheduler}.
 *
 * @param settings the settings of the cluster
 * @param now seconds of the monotonic clock
 * @param plan the plan that is being made
 * @param usage what the teams use, counting what this plan has placed
 * @param candidates the machines, counting what this plan has allocated on them
 * @param scaleOutPlanner rents machines
 * @param preemption stops attempts to free capacity
 * @param queueing how many short tasks may wait for one booting machine
 * @param spread chooses machines for the replicas of a service
 */
record SchedulingCycle(
    Settings settings,
    double now,
    SchedulingPlanBuilder plan,
    QuotaUsage usage,
    CandidateMachines candidates,
    ScaleOutPlanner scaleOutPlanner,
    Preemption preemption,
    BootQueueing queueing,
    TopologySpread spread) {

  /** Reads the input, and marks the jobs that are within their teams' guarantees. */
  static SchedulingCycle begin(Settings settings, int maxNewMachines, SchedulingInput input) {
    double now = input.now();
    SchedulingPlanBuilder plan = new SchedulingPlanBuilder();
    QuotaUsage usage =
        new QuotaUsage(settings.teams(), input.jobs(), input.withUnknownEnd(), now);
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
        plan,
        usage,
        candidates,
        new ScaleOutPlanner(input.types(), input.pools(), candidates, maxNewMachines),
        new Preemption(settings, candidates, plan, now),
        new BootQueueing(input.jobs(), input.types()),
        new TopologySpread(candidates, input.risk()));
  }
}
