package io.embernotch.settings;

import io.embernotch.model.JobShape;
import io.embernotch.model.Priority;
import io.embernotch.settings.proto.OperatorFile;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reservations of the operators' file, checked; mistakes are told with their place. */
final class ReservationReader {
  private ReservationReader() {}

  static List<Reservation> read(List<OperatorFile.Reserve> file, long generation) {
    List<Reservation> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < file.size(); i++) {
      OperatorFile.Reserve reserve = file.get(i);
      String place = "reserve[" + i + "]";
      need(
          generation > 0,
          place
              + ": generation: must be above 0, and be raised with every change of the reservations");
      need(
          reserve.getName().matches("[a-z0-9-]{1,40}"),
          place + ".name: must be 1 to 40 of a-z, 0-9 and -");
      need(
          names.add(reserve.getName()),
          place + ".name: " + reserve.getName() + " is there already");
      need(reserve.getServesCount() > 0, place + ".serves: missing");
      List<Selector> serves = new ArrayList<>();
      for (int k = 0; k < reserve.getServesCount(); k++) {
        Selector selector = selector(reserve.getServes(k));
        need(
            !selector.equals(new Selector(null, null, null, null)),
            place + ".serves[" + k + "]: names no work");
        serves.add(selector);
      }
      for (Reservation other : out) {
        need(
            serves.stream()
                .noneMatch(selector -> other.serves().stream().anyMatch(selector::overlaps)),
            place
                + ".serves: the same work may be served by "
                + other.name()
                + ", and only one can hold a machine for it");
      }
      boolean amounts = reserve.getCpus() > 0 || reserve.getGpus() > 0 || reserve.getMemGb() > 0;
      need(
          !(reserve.getMachines() > 0 && amounts),
          place + ".machines: either whole machines or amounts");
      need(
          reserve.getMachines() > 0
              || amounts
              || reserve.getShare() > 0
              || reserve.getDeviations() > 0,
          place + ": reserves nothing: set machines, an amount, share or deviations");
      out.add(
          new Reservation(
              reserve.getName(),
              serves,
              (int) OperatorSettings.within(place + ".machines", reserve.getMachines(), 0, 100_000),
              OperatorSettings.within(place + ".cpus", reserve.getCpus(), 0, 1e7),
              OperatorSettings.within(place + ".gpus", reserve.getGpus(), 0, 1e6),
              OperatorSettings.within(place + ".mem_gb", reserve.getMemGb(), 0, 1e8),
              OperatorSettings.within(place + ".share", reserve.getShare(), 0, 10),
              OperatorSettings.within(place + ".deviations", reserve.getDeviations(), 0, 100),
              List.copyOf(reserve.getTypeList()),
              zones(place, reserve)));
    }
    return List.copyOf(out);
  }

  private static Map<String, Double> zones(String place, OperatorFile.Reserve reserve) {
    Map<String, Double> out = new LinkedHashMap<>();
    double all = 0;
    for (int k = 0; k < reserve.getZoneCount(); k++) {
      OperatorFile.ZoneShare zone = reserve.getZone(k);
      String here = place + ".zone[" + k + "]";
      need(
          !out.containsKey(zone.getName()),
          here + ".name: " + zone.getName() + " is there already");
      out.put(
          zone.getName(),
          OperatorSettings.within(here + ".least_share", zone.getLeastShare(), 0, 1));
      all += zone.getLeastShare();
    }
    need(all <= 1 + 1e-9, place + ".zone: the shares add up to " + all + ", more than all of it");
    return out;
  }

  static Selector selector(OperatorFile.Work work) {
    return new Selector(
        work.hasPriority() ? priority(work.getPriority()) : null,
        work.hasShape() ? JobShape.valueOf(work.getShape().name()) : null,
        work.hasTeam() ? work.getTeam() : null,
        work.hasJobClass() ? work.getJobClass() : null);
  }

  private static Priority priority(OperatorFile.Priority p) {
    return switch (p) {
      case IDLE -> Priority.LOW;
      case STANDARD -> Priority.NORMAL;
      case HIGH -> Priority.HIGH;
      case LIVE -> Priority.PRODUCTION;
    };
  }

  private static void need(boolean right, String why) {
    if (!right) {
      throw new SettingsException(why);
    }
  }
}
