package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.CandidateMachines.Capacity;
import io.embernotch.settings.Reservation;
import java.util.List;
import java.util.Optional;

/**
 * Allocates capacity to tasks: capacity that is free, being freed, on booting machines, or on
 * machines that are rented for them. It is subtracted from the candidates at once, so that no
 * capacity is allocated twice.
 */
final class CapacityAllocator implements ReservationPlanner.CapacityProvider {
  private final SchedulingCycle cycle;
  private final CandidateMachines candidates;
  private final ScaleOutPlanner scaleOutPlanner;

  CapacityAllocator(SchedulingCycle cycle) {
    this.cycle = cycle;
    this.candidates = cycle.candidates();
    this.scaleOutPlanner = cycle.scaleOutPlanner();
  }

  /**
   * Allocates capacity of one kind, best machines first.
   *
   * @return for how many tasks
   */
  int allocate(Capacity capacity, AllocationRequest request, AllocationListener listener) {
    if (request.wanted() <= 0) {
      return 0;
    }
    JobSpec spec = request.spec();
    ZoneConstraints zones = request.zones();
    List<CandidateMachine> ranked = rankedFor(capacity, request);
    if (spec.shape() == JobShape.SERVICE && spec.tasks() > 1 && capacity == Capacity.FREE) {
      return cycle
          .spread()
          .place(
              ranked,
              request,
              (candidate, tasks) -> {
                allocateOn(candidate, spec, tasks, zones);
                listener.allocated(candidate, tasks);
              });
    }
    int allocated = 0;
    for (CandidateMachine candidate : ranked) {
      int available = candidate.taskCapacity(spec, capacity == Capacity.FREEING);
      int tasks = zones.limit(candidate.zone, available, request.wanted() - allocated);
      if (tasks > 0) {
        allocateOn(candidate, spec, tasks, zones);
        listener.allocated(candidate, tasks);
        allocated += tasks;
      }
      if (allocated == request.wanted()) {
        break;
      }
    }
    return allocated;
  }

  private List<CandidateMachine> rankedFor(Capacity capacity, AllocationRequest request) {
    JobSpec spec = request.spec();
    boolean avoidsOrdinary = avoidsOrdinaryMachines(spec);
    return candidates.ranked(
        capacity,
        spec,
        candidate ->
            request.allowed().test(candidate)
                && request.zones().remaining(candidate.zone) > 0
                && !(avoidsOrdinary && isUnneededOrdinary(spec, candidate)),
        request.score());
  }

  /** Allocates capacity for tasks on one machine. */
  static void allocateOn(
      CandidateMachine candidate, JobSpec spec, int tasks, ZoneConstraints zones) {
    candidate.allocate(spec, tasks);
    zones.add(candidate.zone, tasks);
  }

  /**
   * Claims capacity that will be available later for tasks of a job: being freed, freed by
   * preemption, booting, or rented.
   *
   * @return for how many tasks
   */
  int claimLater(Job job, int wanted, ZoneConstraints zones) {
    JobSpec spec = job.spec;
    int claimed =
        allocate(
            Capacity.FREEING,
            AllocationRequest.of(spec, wanted, zones),
            AllocationListener.CLAIM_ONLY);
    if (claimed < wanted && spec.priority() == Priority.PRODUCTION) {
      claimed += cycle.preemption().preempt(spec, wanted - claimed, zones, candidate -> true);
    }
    claimed += claimNew(cycle.queueing().queuedSpec(spec), wanted - claimed, zones);
    if (claimed < wanted
        && cycle.settings().zones().stream()
            .noneMatch(
                zone -> zones.remaining(zone) > 0 && scaleOutPlanner.available(spec, zone))) {
      claimed += cycle.preemption().preemptBeyondGuarantee(job, wanted - claimed, zones);
    }
    return claimed;
  }

  @Override
  public int claimLater(JobSpec sample, int wanted) {
    ZoneConstraints anywhere = ZoneConstraints.anywhere();
    int claimed =
        allocate(
            Capacity.FREEING,
            AllocationRequest.of(sample, wanted, anywhere),
            AllocationListener.CLAIM_ONLY);
    return claimed + claimNew(sample, wanted - claimed, ZoneConstraints.anywhere());
  }

  /**
   * Claims capacity on machines that are booting, or rents machines.
   *
   * @return for how many tasks
   */
  int claimNew(JobSpec spec, int wanted, ZoneConstraints zones) {
    AllocationRequest request = AllocationRequest.of(spec, wanted, zones);
    int claimed = allocate(Capacity.BOOTING, request, AllocationListener.CLAIM_ONLY);
    claimed +=
        allocate(
            Capacity.SCALE_OUT,
            request.withWanted(wanted - claimed),
            AllocationListener.CLAIM_ONLY);
    boolean waitsForSpot =
        Scheduler.mayWaitForCapacity(cycle.settings(), spec)
            && spec.spot()
            && (candidates.anySpot() || scaleOutPlanner.spotAvailable(spec));
    boolean ordinaryToo = !waitsForSpot && cycle.queueing().worthOrdinaryMachine(spec);
    while (claimed < wanted) {
      Optional<CandidateMachine> rented = scaleOutPlanner.request(spec, zones, ordinaryToo);
      if (rented.isEmpty()) {
        break;
      }
      CandidateMachine candidate = rented.get();
      int tasks =
          zones.limit(candidate.zone, candidate.taskCapacity(spec, false), wanted - claimed);
      allocateOn(candidate, spec, tasks, zones);
      claimed += tasks;
    }
    return claimed;
  }

  @Override
  public void preemptFor(JobSpec sample, int wanted, Reservation reservation) {
    if (cycle.settings().zones().stream()
        .noneMatch(zone -> scaleOutPlanner.available(sample, zone))) {
      cycle
          .preemption()
          .preempt(
              sample,
              wanted,
              ZoneConstraints.anywhere(),
              candidate -> !candidate.spot && reservation.allowsType(candidate.type.name()));
    }
  }

  /**
   * Whether a job avoids ordinary machines: it may run on spot machines, and the cloud has some. On
   * an ordinary machine that is not needed otherwise it would only prevent scale-in.
   */
  private boolean avoidsOrdinaryMachines(JobSpec spec) {
    return spec.spot() && spec.shape() == JobShape.ARRAY && scaleOutPlanner.spotAvailable(spec);
  }

  private static boolean isUnneededOrdinary(JobSpec spec, CandidateMachine candidate) {
    return !candidate.spot && !candidate.paidFor(spec);
  }
}
