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
    for (Booking b : open.values()) {
      out.add(new FleetView.Expected(b.type, b.zone, b.spot, b.number));
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
  void rent(SchedulingPlan.ScaleOutRequest buy) {
    int left = buy.number();
    boolean underWay = open.values().stream().anyMatch(b -> samePool(b, buy));
    while (left > 0 && open.size() < context.settings().cloudLimits().rps()) {
      if (underWay && left < Settings.CloudLimits.MAX_RENT) {
        return;
      }
      int n = Math.min(left, Settings.CloudLimits.MAX_RENT);
      Booking b = new Booking(bookingPrefix + ++bookings, buy.type(), buy.zone(), buy.spot(), n);
      open.put(b.name, b);
      LOG.info("scaling out: {} {} in {}{}", n, b.type, b.zone, b.spot ? " (spot)" : "");
      book(b);
      left -= n;
    }
  }

  private static boolean samePool(Booking b, SchedulingPlan.ScaleOutRequest buy) {
    return b.type.equals(buy.type()) && b.zone.equals(buy.zone()) && b.spot == buy.spot();
  }

  private void book(Booking b) {
    context
        .cloud()
        .rent(b.name, b.type, b.zone, b.spot, b.number)
        .onSuccess(r -> booked(b, r))
        .onFailure(
            e -> {
              // Perhaps it was executed: the same name gives the same answer and rents nothing.
              LOG.debug("scale-out request {}: {}", b.name, e.getMessage());
              context
                  .timers()
                  .after(context.settings().workers().heartbeatIntervalS() / 3, () -> book(b));
            });
  }

  private void booked(Booking b, Rented r) {
    open.remove(b.name);
    double now = context.clock().now();
    MachineType type = state.types.get(b.type);
    for (String name : r.machines()) {
      Machine machine = state.machine(name, agents.tokenBase());
      if (!machine.up()) {
        machine.type = type;
        machine.zone = b.zone;
        machine.spot = b.spot;
        machine.rentedAt = now;
        machine.expectedUntil = now + FleetManager.COUNTED_BOOTS * type.bootS();
      }
    }
    if (r.refused() || r.machines().size() < b.number) {
      LOG.info(
          "pool exhausted: {} in {}{}, got {} of {}",
          b.type,
          b.zone,
          b.spot ? " (spot)" : "",
          r.machines().size(),
          b.number);
      fullUntil.put(
          pool(b.type, b.zone, b.spot),
          now + 5 * context.settings().workers().heartbeatIntervalS());
    }
    changed.run();
  }
}
