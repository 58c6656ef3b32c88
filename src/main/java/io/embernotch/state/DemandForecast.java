package io.embernotch.state;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.scheduling.FleetView.Headroom;
import io.embernotch.scheduling.MachineTypes;
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
 * Recent demand by job class, and the headroom that follows from it. While a machine boots, jobs of
 * a class arrive at its usual rate and as many end; tasks in excess of that need free capacity at
 * once. Jobs arrive independently and are of uneven size, so the variance of the tasks that arrive
 * is the sum of the squares of the jobs' sizes; the headroom is a number of standard deviations.
 *
 * <p>That number follows from the costs. The smaller a standard deviation is compared with all
 * placed tasks, the cheaper is one more standard deviation of headroom, while a task without free
 * capacity waits for a boot regardless of that ratio. For a normal distribution the optimal number
 * grows with the square root of the logarithm of the ratio.
 */
public final class DemandForecast {
  /** Length, in boot times, of the window over which the arrivals of a class are counted. */
  private static final double WINDOW_BOOTS = 4;

  /** A job that became eligible at {@code at}, in seconds of the steady clock. */
  private record Arrival(double at, int tasks) {}

  /** The recent arrivals of a job class, oldest first. */
  private static final class JobClassDemand {
    JobSpec latest;
    final Deque<Arrival> arrivals = new ArrayDeque<>();

    void dropOlderThan(double ageS, double now) {
      while (!arrivals.isEmpty() && now - arrivals.peekFirst().at > ageS) {
        arrivals.removeFirst();
      }
    }

    /** Returns the standard deviation of the number of tasks that arrive in one boot time. */
    double deviation() {
      double squares =
          arrivals.stream().mapToDouble(arrival -> (double) arrival.tasks * arrival.tasks).sum();
      return Math.sqrt(squares / WINDOW_BOOTS);
    }
  }

  private final Predicate<JobSpec> mayWaitForCapacity;
  private final Map<String, JobClassDemand> demandByClass = new LinkedHashMap<>();

  /**
   * @param mayWaitForCapacity whether no headroom is kept for jobs like the given one: otherwise a
   *     job that may itself wait for capacity would cause machines to be rented for the next job
   *     like it
   */
  public DemandForecast(Predicate<JobSpec> mayWaitForCapacity) {
    this.mayWaitForCapacity = mayWaitForCapacity;
  }

  /**
   * Records that a job became eligible at {@code at}, in seconds of the steady clock; to be called
   * in the order of these times.
   */
  public void recordArrival(JobSpec spec, double at) {
    JobClassDemand demand =
        demandByClass.computeIfAbsent(spec.jobClass(), name -> new JobClassDemand());
    demand.latest = spec;
    demand.arrivals.addLast(new Arrival(at, spec.tasks()));
  }

  /**
   * Returns the free capacity to keep for each class with recent arrivals.
   *
   * @param types all machine types, which determine the boot time of a class
   * @param jobs all jobs, whose placed tasks are counted for each class
   * @param now seconds of the steady clock
   */
  public List<Headroom> headroom(
      OperatorSettings operatorSettings,
      Collection<MachineType> types,
      Collection<Job> jobs,
      double now) {
    Map<String, Integer> placed = new HashMap<>();
    jobs.forEach(job -> placed.merge(job.spec.jobClass(), job.openAttempts.size(), Integer::sum));
    List<Headroom> headroom = new ArrayList<>();
    for (JobClassDemand demand : demandByClass.values()) {
      JobSpec latest = demand.latest;
      double bootS = MachineTypes.shortestBootS(types, latest);
      demand.dropOlderThan(WINDOW_BOOTS * bootS, now);
      if (demand.arrivals.isEmpty() || bootS <= 0 || mayWaitForCapacity.test(latest)) {
        continue;
      }
      double deviation = demand.deviation();
      double ratio = placed.getOrDefault(latest.jobClass(), 0) / Math.max(1, deviation);
      double tasks =
          deviation * configuredFactor(operatorSettings, latest.shape()) * costFactor(ratio);
      headroom.add(new Headroom(latest.withTasks(1), (int) Math.round(tasks)));
    }
    return headroom;
  }

  /**
   * Returns the optimal number of standard deviations of headroom, at least 1; {@code ratio} is the
   * number of placed tasks in standard deviations.
   */
  private static double costFactor(double ratio) {
    return ratio <= 1 ? 1 : Math.max(1, Math.sqrt(2 * Math.log(ratio)));
  }

  private static double configuredFactor(OperatorSettings operatorSettings, JobShape shape) {
    return switch (shape) {
      case ARRAY -> operatorSettings.arraySpare();
      case GANG -> operatorSettings.gangSpare();
      case SERVICE -> operatorSettings.serviceSpare();
    };
  }
}
