package io.embernotch.fleet;

import io.embernotch.agents.AgentReconciler;
import io.embernotch.cloud.CloudClient.Rented;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.scheduling.FleetView;
import io.embernotch.scheduling.SchedulingPlan;
import io.embernotch.settings.Settings;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Bookings under way, and where the cloud has no more machines. */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);

  private record Booking(String name, String type, String zone, boolean spot, int number) {}

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final Runnable changed;
  private final String bookingPrefix;
  private final Map<String, Booking> open = new LinkedHashMap<>();
  private final Map<String, Double> fullUntil = new HashMap<>();
  private int bookings;

  /** {@code changed}: machines have come, or will not. */
  ScaleOut(
      ControllerContext context,
      ClusterState state,
      AgentReconciler agents,
      long epoch,
      Runnable changed) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.changed = changed;
    // The epoch is new with each term, so no booking name is ever used twice.
    this.bookingPrefix = "r-" + epoch + "-";
  }

  List<FleetView.Expected> expected() {
    List<FleetView.Expected> out = new ArrayList<>();
    for (Booking booking : open.values()) {
      out.add(new FleetView.Expected(booking.type, booking.zone, booking.spot, booking.number));
    }
    return out;
  }

  /** The cloud has lately had too few machines of this kind. */
  boolean full(String type, String zone, boolean spot) {
    return fullUntil.getOrDefault(pool(type, zone, spot), -1.0) > context.clock().now();
  }

  private static String pool(String type, String zone, boolean spot) {
    return type + "|" + zone + "|" + spot;
  }

  /**
   * Rents in as few calls as may be: while one is under way for a pool, what more is wanted there
   * waits and comes with the next plan, unless it fills a call. A call for each plan's few machines
   * used to take up all that the cloud allows.
   */
  void rent(SchedulingPlan.ScaleOutRequest request) {
    int left = request.number();
    boolean underWay = open.values().stream().anyMatch(booking -> samePool(booking, request));
    while (left > 0 && open.size() < context.settings().cloudLimits().rps()) {
      if (underWay && left < Settings.CloudLimits.MAX_RENT) {
        return;
      }
      int number = Math.min(left, Settings.CloudLimits.MAX_RENT);
      Booking booking =
          new Booking(
              bookingPrefix + ++bookings, request.type(), request.zone(), request.spot(), number);
      open.put(booking.name, booking);
      LOG.info(
          "scaling out: {} {} in {}{}",
          number,
          booking.type,
          booking.zone,
          booking.spot ? " (spot)" : "");
      book(booking);
      left -= number;
    }
  }

  private static boolean samePool(Booking booking, SchedulingPlan.ScaleOutRequest request) {
    return booking.type.equals(request.type())
        && booking.zone.equals(request.zone())
        && booking.spot == request.spot();
  }

  private void book(Booking booking) {
    context
        .cloud()
        .rent(booking.name, booking.type, booking.zone, booking.spot, booking.number)
        .onSuccess(rented -> booked(booking, rented))
        .onFailure(
            e -> {
              // Perhaps it was executed: the same name gives the same answer and rents nothing.
              LOG.debug("scale-out request {}: {}", booking.name, e.getMessage());
              context
                  .timers()
                  .after(
                      context.settings().workers().heartbeatIntervalS() / 3, () -> book(booking));
            });
  }

  private void booked(Booking booking, Rented rented) {
    open.remove(booking.name);
    double now = context.clock().now();
    MachineType type = state.types.get(booking.type);
    for (String name : rented.machines()) {
      Machine machine = state.machine(name, agents.tokenBase());
      if (!machine.up()) {
        machine.type = type;
        machine.zone = booking.zone;
        machine.spot = booking.spot;
        machine.rentedAt = now;
        machine.expectedUntil = now + FleetManager.COUNTED_BOOTS * type.bootS();
      }
    }
    if (rented.refused() || rented.machines().size() < booking.number) {
      LOG.info(
          "pool exhausted: {} in {}{}, got {} of {}",
          booking.type,
          booking.zone,
          booking.spot ? " (spot)" : "",
          rented.machines().size(),
          booking.number);
      fullUntil.put(
          pool(booking.type, booking.zone, booking.spot),
          now + 5 * context.settings().workers().heartbeatIntervalS());
    }
    changed.run();
  }
}
