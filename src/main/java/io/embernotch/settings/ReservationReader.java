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
      OperatorFile.Reserve r = file.get(i);
      String place = "reserve[" + i + "]";
      need(
          generation > 0,
          place
              + ": generation: must be above 0, and be raised with every change of the reservations");
      need(
          r.getName().matches("[a-z0-9-]{1,40}"),
          place + ".name: must be 1 to 40 of a-z, 0-9 and -");
      need(names.add(r.getName()), place + ".name: " + r.getName() + " is there already");
      need(r.getServesCount() > 0, place + ".serves: missing");
      List<Selector> serves = new ArrayList<>();
      for (int k = 0; k < r.getServesCount(); k++) {
        Selector s = selector(r.getServes(k));
        need(
            !s.equals(new Selector(null, null, null, null)),
            place + ".serves[" + k + "]: names no work");
        serves.add(s);
      }
      for (Reservation other : out) {
        need(
            serves.stream().noneMatch(s -> other.serves().stream().anyMatch(s::overlaps)),
            place
                + ".serves: the same work may be served by "
                + other.name()
                + ", and only one can hold a machine for it");
      }
      boolean amounts = r.getCpus() > 0 || r.getGpus() > 0 || r.getMemGb() > 0;
      need(
          !(r.getMachines() > 0 && amounts), place + ".machines: either whole machines or amounts");
      need(
          r.getMachines() > 0 || amounts || r.getShare() > 0 || r.getDeviations() > 0,
          place + ": reserves nothing: set machines, an amount, share or deviations");
      out.add(
          new Reservation(
              r.getName(),
              serves,
              (int) OperatorSettings.within(place + ".machines", r.getMachines(), 0, 100_000),
              OperatorSettings.within(place + ".cpus", r.getCpus(), 0, 1e7),
              OperatorSettings.within(place + ".gpus", r.getGpus(), 0, 1e6),
              OperatorSettings.within(place + ".mem_gb", r.getMemGb(), 0, 1e8),
              OperatorSettings.within(place + ".share", r.getShare(), 0, 10),
              OperatorSettings.within(place + ".deviations", r.getDeviations(), 0, 100),
              List.copyOf(r.getTypeList()),
              zones(place, r)));
    }
    return List.copyOf(out);
  }

  private static Map<String, Double> zones(String place, OperatorFile.Reserve r) {
    Map<String, Double> out = new LinkedHashMap<>();
    double all = 0;
    for (int k = 0; k < r.getZoneCount(); k++) {
      OperatorFile.ZoneShare z = r.getZone(k);
      String here = place + ".zone[" + k + "]";
      need(!out.containsKey(z.getName()), here + ".name: " + z.getName() + " is there already");
      out.put(z.getName(), OperatorSettings.within(here + ".least_share", z.getLeastShare(), 0, 1));
      all += z.getLeastShare();
    }
    need(all <= 1 + 1e-9, place + ".zone: the shares add up to " + all + ", more than all of it");
    return out;
  }

  static Selector selector(OperatorFile.Work w) {
    return new Selector(
        w.hasPriority() ? priority(w.getPriority()) : null,
        w.hasShape() ? JobShape.valueOf(w.getShape().name()) : null,
        w.hasTeam() ? w.getTeam() : null,
        w.hasJobClass() ? w.getJobClass() : null);
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
