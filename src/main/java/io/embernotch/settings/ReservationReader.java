package io.embernotch.settings;

import static io.embernotch.settings.Checks.require;

import io.embernotch.settings.proto.OperatorFile;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads and checks the reservations of the operators' file; errors name their place. */
final class ReservationReader {
  private static final double MAX_MACHINES = 100_000;
  private static final double MAX_CPUS = 1e7;
  private static final double MAX_GPUS = 1e6;
  private static final double MAX_MEM_GB = 1e8;
  private static final double MAX_SHARE = 10;
  private static final double MAX_DEVIATIONS = 100;

  /** Shares may add up to this much more than 1 through rounding. */
  private static final double ROUNDING = 1e-9;

  private ReservationReader() {}

  /**
   * The reservations, in the order of the file.
   *
   * @param generation generation of the file, which must be set if there are reservations
   * @throws SettingsException if a field is missing or wrong
   */
  static List<Reservation> read(List<OperatorFile.Reserve> file, long generation) {
    List<Reservation> reservations = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < file.size(); i++) {
      OperatorFile.Reserve reserve = file.get(i);
      String place = "reserve[" + i + "]";
      require(
          generation > 0,
          place
              + ": generation: must be above 0, and be raised with every change of the reservations");
      Checks.requireName(place + ".name", reserve.getName());
      require(
          names.add(reserve.getName()),
          place + ".name: " + reserve.getName() + " is there already");
      List<Selector> serves = SelectorReader.read(place + ".serves", reserve.getServesList());
      requireDisjoint(place, serves, reservations);
      requireAmount(place, reserve);
      reservations.add(reservation(place, reserve, serves));
    }
    return List.copyOf(reservations);
  }

  private static void requireDisjoint(
      String place, List<Selector> serves, List<Reservation> others) {
    for (Reservation other : others) {
      require(
          serves.stream().noneMatch(s -> other.serves().stream().anyMatch(s::overlaps)),
          place
              + ".serves: the same work may be served by "
              + other.name()
              + ", and only one can hold a machine for it");
    }
  }

  private static void requireAmount(String place, OperatorFile.Reserve reserve) {
    boolean amounts = reserve.getCpus() > 0 || reserve.getGpus() > 0 || reserve.getMemGb() > 0;
    require(
        !(reserve.getMachines() > 0 && amounts),
        place + ".machines: either whole machines or amounts");
    require(
        reserve.getMachines() > 0
            || amounts
            || reserve.getShare() > 0
            || reserve.getDeviations() > 0,
        place + ": reserves nothing: set machines, an amount, share or deviations");
  }

  private static Reservation reservation(
      String place, OperatorFile.Reserve reserve, List<Selector> serves) {
    return new Reservation(
        reserve.getName(),
        serves,
        (int) Checks.within(place + ".machines", reserve.getMachines(), 0, MAX_MACHINES),
        Checks.within(place + ".cpus", reserve.getCpus(), 0, MAX_CPUS),
        Checks.within(place + ".gpus", reserve.getGpus(), 0, MAX_GPUS),
        Checks.within(place + ".mem_gb", reserve.getMemGb(), 0, MAX_MEM_GB),
        Checks.within(place + ".share", reserve.getShare(), 0, MAX_SHARE),
        Checks.within(place + ".deviations", reserve.getDeviations(), 0, MAX_DEVIATIONS),
        List.copyOf(reserve.getTypeList()),
        zones(place, reserve));
  }

  private static Map<String, Double> zones(String place, OperatorFile.Reserve reserve) {
    Map<String, Double> shares = new LinkedHashMap<>();
    double sum = 0;
    for (int i = 0; i < reserve.getZoneCount(); i++) {
      OperatorFile.ZoneShare zone = reserve.getZone(i);
      String here = place + ".zone[" + i + "]";
      require(
          !shares.containsKey(zone.getName()),
          here + ".name: " + zone.getName() + " is there already");
      shares.put(zone.getName(), Checks.within(here + ".least_share", zone.getLeastShare(), 0, 1));
      sum += zone.getLeastShare();
    }
    require(
        sum <= 1 + ROUNDING,
        place + ".zone: the shares add up to " + sum + ", more than all of it");
    return shares;
  }
}
