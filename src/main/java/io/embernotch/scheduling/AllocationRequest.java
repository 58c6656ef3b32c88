package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * A request for capacity for tasks of one job.
 *
 * @param spec the job
 * @param wanted how many tasks; nothing is allocated if it is zero or negative
 * @param zones the zones that the tasks may go to; updated by each allocation
 * @param allowed the machines that may be used
 * @param score rates how well a machine suits the tasks; lower is better
 */
record AllocationRequest(
    JobSpec spec,
    int wanted,
    ZoneConstraints zones,
    Predicate<CandidateMachine> allowed,
    ToDoubleFunction<CandidateMachine> score) {

  /** A request that any machine may serve, scored by {@link PlacementScore}. */
  static AllocationRequest of(JobSpec spec, int wanted, ZoneConstraints zones) {
    return new AllocationRequest(
        spec,
        wanted,
        zones,
        candidate -> true,
        candidate -> PlacementScore.of(spec, candidate, zones));
  }

  /** The same request for another number of tasks. */
  AllocationRequest withWanted(int number) {
    return new AllocationRequest(spec, number, zones, allowed, score);
  }

  /** The same request, limited to some machines. */
  AllocationRequest onlyOn(Predicate<CandidateMachine> machines) {
    return new AllocationRequest(spec, wanted, zones, machines, score);
  }

  /** The same request with another score. */
  AllocationRequest scoredBy(ToDoubleFunction<CandidateMachine> otherScore) {
    return new AllocationRequest(spec, wanted, zones, allowed, otherScore);
  }
}
