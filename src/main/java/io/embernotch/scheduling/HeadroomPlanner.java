package io.embernotch.scheduling;

import io.embernotch.model.JobShape;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.CandidateMachines.Capacity;
import java.util.List;

/**
 * Keeps capacity free for jobs that may be submitted, and rents machines if there is too little.
 * {@link ReservationPlanner} does so for work that a reservation serves.
 */
final class HeadroomPlanner {
  private final CapacityAllocator allocator;
  private final List<FleetView.Headroom> headroom;

  HeadroomPlanner(CapacityAllocator allocator, SchedulingInput input) {
    this.allocator = allocator;
    this.headroom =
        input.headroom().stream()
            .filter(entry -> !input.reservations().serves(entry.sample()))
            .toList();
  }

  /** Keeps headroom for production jobs. */
  void keepForProduction() {
    headroom.stream()
        .filter(entry -> entry.sample().priority() == Priority.PRODUCTION)
        .forEach(this::keep);
  }

  /** Keeps headroom for all other jobs. */
  void keepForOthers() {
    headroom.stream()
        .filter(entry -> entry.sample().priority() != Priority.PRODUCTION)
        .forEach(this::keep);
  }

  private void keep(FleetView.Headroom entry) {
    ZoneConstraints anywhere = ZoneConstraints.anywhere();
    AllocationRequest request =
        AllocationRequest.of(entry.sample(), entry.count(), anywhere)
            .scoredBy(PlacementScore::ofHeadroom);
    int kept = allocator.allocate(Capacity.FREE, request, AllocationListener.CLAIM_ONLY);
    if (entry.sample().shape() == JobShape.GANG) {
      kept +=
          allocator.allocate(
              Capacity.FREEING,
              request.withWanted(entry.count() - kept),
              AllocationListener.CLAIM_ONLY);
    }
    allocator.claimNew(entry.sample(), entry.count() - kept, anywhere);
  }
}
