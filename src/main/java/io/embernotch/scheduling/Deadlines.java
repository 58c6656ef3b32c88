package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Which of the jobs that are for a release are left to be late where not all can be in time: as
 * many as possible are served by their deadline (Moore and Hodgson: in the order of deadlines, and
 * whenever one would be late, the one that takes most of the machines is left out). What is left
 * out goes on behind, and is not starved: see {@code Scheduler}.
 */
public final class Deadlines {
  /**
   * One job: what it takes of all machines together, in seconds, and by when it must be done, in
   * seconds from now.
   */
  public record Task(String ref, double takesS, double dueS) {}

  private Deadlines() {}

  /** The jobs that are left to be late. */
  public static Set<String> missed(List<Task> items) {
    List<Task> order = new ArrayList<>(items);
    order.sort(Comparator.comparingDouble(Task::dueS).thenComparing(Task::ref));
    PriorityQueue<Task> taken =
        new PriorityQueue<>(
            Comparator.comparingDouble(Task::takesS).reversed().thenComparing(Task::ref));
    Set<String> late = new HashSet<>();
    double at = 0;
    for (Task i : order) {
      taken.add(i);
      at += i.takesS;
      if (at > i.dueS) {
        Task longest = taken.poll();
        at -= longest.takesS;
        late.add(longest.ref);
      }
    }
    return late;
  }

  /**
   * The same of jobs, on machines with so many GPUs and CPUs for them; sets {@link
   * Job#missesDeadline}.
   */
  static void mark(List<Job> jobs, Resources room, long wallMs) {
    List<Task> items = new ArrayList<>();
    for (Job job : jobs) {
      job.missesDeadline = false;
      if (job.releaseDeadlineMs != Long.MAX_VALUE && job.finalPhase == null) {
        double share =
            Math.max(ratio(job.spec.gpus(), room.gpus()), ratio(job.spec.cpus(), room.cpus()));
        int left = job.spec.shape() == JobShape.GANG ? job.spec.tasks() : job.remaining();
        double runS = job.remainingRunMs / 1000.0;
        // Nothing is done before one of its tasks has run, however many machines there are.
        items.add(
            new Task(
                job.spec.ref(),
                share * left * runS,
                (job.releaseDeadlineMs - wallMs) / 1000.0
                    - runS * (1 - Math.min(1, share * left))));
      }
    }
    Set<String> late = missed(items);
    for (Job job : jobs) {
      job.missesDeadline = late.contains(job.spec.ref());
    }
  }

  private static double ratio(double want, double all) {
    return want <= 0 || all <= 0 ? 0 : want / all;
  }
}
