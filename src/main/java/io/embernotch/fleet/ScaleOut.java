package io.embernotch.fleet;

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

/** Rents machines, and keeps track of pending rentals and exhausted pools. */
final class ScaleOut {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);

  /** Retries of an unanswered rental per heartbeat interval. */
  private static final int RETRIES_PER_HEARTBEAT = 3;

  /** Heartbeat intervals for which a pool that provided too few machines counts as exhausted. */
  private static final double EXHAUSTED_HEARTBEATS = 5;

  /** Time that {@link #isExhausted} assumes for a pool that was never exhausted. */
  private static final double NOT_EXHAUSTED = -1.0;

  /** A rental whose response has not been received yet; its name is an idempotency key. */
  private record Rental(String name, Pool pool, int number) {}

  /**
   * Machines of one type in one zone, spot or not; the cloud can run out of each pool separately.
   */
  private record Pool(String type, String zone, boolean spot) {
    /** Suffix that marks spot machines in the log; empty for others. */
    String spotSuffix() {
      return spot ? " (spot)" : "";
    }
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final long tokenBase;
  private final Runnable onChange;
  private final String rentalPrefix;
  private final Map<String, Rental> pendingRentals = new LinkedHashMap<>();
  private final Map<Pool, Double> exhaustedUntil = new HashMap<>();
  private int rentalCount;

  /**
   * @param epoch epoch of this leader, unique to its term
   * @param onChange called when a rental has been answered, also if it was refused
   */
  ScaleOut(
      ControllerContext context,
      ClusterState state,
      long tokenBase,
      long epoch,
      Runnable onChange) {
    this.context = context;
    this.state = state;
    this.tokenBase = tokenBase;
    this.onChange = onChange;
    // The epoch is new with each term, so no rental name is ever used twice.
    this.rentalPrefix = "r-" + epoch + "-";
  }

  /** Returns the machines that are being rented. */
  List<FleetView.Expected> pendingRentals() {
    List<FleetView.Expected> expected = new ArrayList<>();
    for (Rental rental : pendingRentals.values()) {
      Pool pool = rental.pool;
      expected.add(new FleetView.Expected(pool.type, pool.zone, pool.spot, rental.number));
    }
    return expected;
  }

  /** Whether the cloud recently had too few machines in a pool. */
  boolean isExhausted(String type, String zone, boolean spot) {
    Pool pool = new Pool(type, zone, spot);
    return exhaustedUntil.getOrDefault(pool, NOT_EXHAUSTED) > context.clock().now();
  }

  /**
   * Rents machines in as few calls as possible: while a call is pending for a pool, further
   * machines wait for the next plan, unless they fill a call. A call for each plan's few machines
   * would use up the cloud's rate limit.
   */
  void rent(SchedulingPlan.ScaleOutRequest request) {
    Pool pool = new Pool(request.type(), request.zone(), request.spot());
    int remaining = request.number();
    boolean callPending =
        pendingRentals.values().stream().anyMatch(rental -> rental.pool.equals(pool));
    while (remaining > 0 && pendingRentals.size() < context.settings().cloudLimits().rps()) {
      if (callPending && remaining < Settings.CloudLimits.MAX_RENT) {
        return;
      }
      int number = Math.min(remaining, Settings.CloudLimits.MAX_RENT);
      Rental rental = new Rental(rentalPrefix + ++rentalCount, pool, number);
      pendingRentals.put(rental.name, rental);
      LOG.info("scaling out: {} {} in {}{}", number, pool.type, pool.zone, pool.spotSuffix());
      send(rental);
      remaining -= number;
    }
  }

  private void send(Rental rental) {
    context
        .cloud()
        .rent(rental.name, rental.pool.type, rental.pool.zone, rental.pool.spot, rental.number)
        .onSuccess(rented -> completeRental(rental, rented))
        .onFailure(
            e -> {
              // The request may have been executed: a retry with the same name gets the same
              // response and rents no further machine.
              LOG.debug(
                  "scale-out request {} failed, to be retried: {}", rental.name, e.getMessage());
              context
                  .timers()
                  .after(
                      context.settings().workers().heartbeatIntervalS() / RETRIES_PER_HEARTBEAT,
                      () -> send(rental));
            });
  }

  /** Returns the boot time in seconds; {@code type} is null if it is not known. */
  private double bootS(MachineType type) {
    return type == null ? context.settings().workers().leaseS() : type.bootS();
  }

  private void completeRental(Rental rental, Rented rented) {
    pendingRentals.remove(rental.name);
    double now = context.clock().now();
    Pool pool = rental.pool;
    MachineType type = state.types.get(pool.type);
    for (String name : rented.machines()) {
      Machine machine = state.machine(name, tokenBase);
      if (!machine.up()) {
        machine.type = type;
        machine.zone = pool.zone;
        machine.spot = pool.spot;
        machine.rentedAt = now;
        machine.expectedUntil = now + FleetManager.EXPECTED_BOOTS * bootS(type);
      }
    }
    if (rented.refused() || rented.machines().size() < rental.number) {
      LOG.info(
          "pool exhausted: {} in {}{}, got {} of {}",
          pool.type,
          pool.zone,
          pool.spotSuffix(),
          rented.machines().size(),
          rental.number);
      exhaustedUntil.put(
          pool, now + EXHAUSTED_HEARTBEATS * context.settings().workers().heartbeatIntervalS());
    }
    onChange.run();
  }
}
