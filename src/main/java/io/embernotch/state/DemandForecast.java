package io.embernotch.state;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.scheduling.FleetView.Headroom;
import io.embernotch.settings.OperatorSettings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What has been asked for lately, from which the room to keep free follows. While a machine boots,
 * jobs of a class come at its usual rate and as many end; what deviates from that must find room at
 * once. Jobs come independently and are of uneven size, so the variance of the tasks that come is
 * the sum of the squares of the jobs' sizes; the room kept is so many deviations.
 *
 * <p>How many follows from what they cost: the smaller a deviation is against all that runs, the
 * cheaper is another one, while a task that finds no room waits for a boot at any size. For a
 * normal deviation the best number grows with the root of the logarithm of that ratio.
 */
public final class DemandForecast {
  /** Boot times over which the rate of a class is measured. */
  private static final double WINDOW_BOOTS = 4;

  private record Arrival(double at, int tasks) {}

  private static final class Kind {
    JobSpec latest;
    final Deque<Arrival> arrivals = new ArrayDeque<>();
  }

  private final Predicate<JobSpec> patient;
  private final Map<String, Kind> kinds = new LinkedHashMap<>();

  /**
   * @param patient no room is kept for such jobs: one of a guest's arrays had machines rented for
   *     the next one like it
   */
  public DemandForecast(Predicate<JobSpec> patient) {
    this.patient = patient;
  }

  /** A job came at {@code at}, by the steady clock; older ones first. */
  public void seen(JobSpec spec, double at) {
    Kind k = kinds.computeIfAbsent(spec.jobClass(), c -> new Kind());
    k.latest = spec;
    k.arrivals.addLast(new Arrival(at, spec.tasks()));
  }

  public List<Headroom> headroom(
      OperatorSettings operator, Collection<MachineType> types, Collection<Job> jobs, double now) {
    Map<String, Integer> placed = new HashMap<>();
    jobs.forEach(job -> placed.merge(job.spec.jobClass(), job.openAttempts.size(), Integer::sum));
    List<Headroom> out = new ArrayList<>();
    for (Kind k : kinds.values()) {
      double boot = bootS(k.latest, types);
      double window = WINDOW_BOOTS * boot;
      while (!k.arrivals.isEmpty() && now - k.arrivals.peekFirst().at > window) {
        k.arrivals.removeFirst();
      }
      if (k.arrivals.isEmpty() || boot <= 0 || patient.test(k.latest)) {
        continue;
      }
      double squares = k.arrivals.stream().mapToDouble(a -> (double) a.tasks * a.tasks).sum();
      double deviation = Math.sqrt(squares / WINDOW_BOOTS);
      double ratio = placed.getOrDefault(k.latest.jobClass(), 0) / Math.max(1, deviation);
      double spare = deviation * spares(operator, k.latest.shape()) * worth(ratio);
      out.add(new Headroom(k.latest.withTasks(1), (int) Math.round(spare)));
    }
    return out;
  }

  private static double worth(double ratio) {
    return ratio <= 1 ? 1 : Math.max(1, Math.sqrt(2 * Math.log(ratio)));
  }

  private static double spares(OperatorSettings operator, JobShape shape) {
    return switch (shape) {
      case ARRAY -> operator.arraySpare();
      case GANG -> operator.gangSpare();
      case SERVICE -> operator.serviceSpare();
    };
  }

  private static double bootS(JobSpec spec, Collection<MachineType> types) {
    return types.stream()
        .filter(type -> type.fits(spec))
        .mapToDouble(MachineType::bootS)
        .min()
        .orElse(0);
  }
}
