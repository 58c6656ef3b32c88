package io.embernotch.leader;

import io.embernotch.context.ControllerContext;
import io.embernotch.fleet.FleetManager;
import io.embernotch.scheduling.FleetView;
import io.embernotch.scheduling.SchedulingInput;
import io.embernotch.state.ClusterState;
import io.embernotch.state.DemandForecast;
import java.util.List;

/** Collects the input of a scheduling run from the leader's components. */
final class SchedulingInputCollector {
  /** Factor by which the headroom for live services is raised when a release is near. */
  private static final double NEAR_RELEASE_FACTOR = 1.5;

  private final ControllerContext context;
  private final ClusterState state;
  private final DemandForecast demandForecast;
  private final FleetManager fleetManager;
  private final SharedStateServices sharedState;

  SchedulingInputCollector(
      ControllerContext context,
      ClusterState state,
      DemandForecast demandForecast,
      FleetManager fleetManager,
      SharedStateServices sharedState) {
    this.context = context;
    this.state = state;
    this.demandForecast = demandForecast;
    this.fleetManager = fleetManager;
    this.sharedState = sharedState;
  }

  /**
   * Collects the input of a run, after applying the release calendar to the jobs.
   *
   * @param now seconds of the monotonic clock
   */
  SchedulingInput collect(double now) {
    long wallMs = context.clock().wallMs();
    sharedState.calendar().apply(wallMs);
    List<FleetView.Headroom> headroom = headroom(now, wallMs);
    return new SchedulingInput(
        now,
        wallMs,
        state.jobs.values(),
        state.unreadable.jobsWithUnknownEnd(),
        state.machines.values(),
        state.types,
        fleetManager::isExhausted,
        fleetManager.pendingRentals(),
        headroom,
        sharedState.reservations().view(headroom),
        fleetManager.failureRisk());
  }

  private List<FleetView.Headroom> headroom(double now, long wallMs) {
    return demandForecast
        .headroom(context.operatorSettings(), state.types.values(), state.jobs.values(), now)
        .stream()
        .map(headroom -> raisedIfReleaseNear(headroom, wallMs))
        .toList();
  }

  private FleetView.Headroom raisedIfReleaseNear(FleetView.Headroom headroom, long wallMs) {
    return sharedState.calendar().isReleaseNear(headroom.sample(), wallMs)
        ? new FleetView.Headroom(
            headroom.sample(), (int) Math.ceil(NEAR_RELEASE_FACTOR * headroom.count()))
        : headroom;
  }
}
