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
 * Chooses which jobs of releases miss their deadlines if not all can meet them. As few as possible
 * do (Moore-Hodgson algorithm: jobs are added in the order of their due times, and whenever one
 * would be late, the job with the longest processing time is left out). Jobs that are left out are
 * placed after the others; {@link JobOrdering} keeps them from starving.
 */
public final class Deadlines {
  private static final double MS_PER_S = 1000.0;

  /**
   * One job with a deadline.
   *
   * @param ref the job's id
   * @param processingS seconds that the job takes if it uses the capacity of all machines
   * @param dueS seconds from now until it must be done
   */
  public record Entry(String ref, double processingS, double dueS) {}

  private Deadlines() {}

  /** Returns the ids of the jobs that miss their deadlines. */
  public static Set<String> missed(List<Entry> entries) {
    List<Entry> byDueTime = new ArrayList<>(entries);
    byDueTime.sort(Comparator.comparingDouble(Entry::dueS).thenComparing(Entry::ref));
    PriorityQueue<Entry> longestFirst =
        new PriorityQueue<>(
            Comparator.comparingDouble(Entry::processingS).reversed().thenComparing(Entry::ref));
    Set<String> missed = new HashSet<>();
    double totalS = 0;
    for (Entry entry : byDueTime) {
      longestFirst.add(entry);
      totalS += entry.processingS;
      if (totalS > entry.dueS) {
        Entry longest = longestFirst.poll();
        totalS -= longest.processingS;
        missed.add(longest.ref);
      }
    }
    return missed;
  }

  /** Sets {@link Job#missesDeadline} of each job, given the total capacity of all machines. */
  static void mark(List<Job> jobs, Resources totalCapacity, long wallMs) {
    List<Entry> entries = new ArrayList<>();
    for (Job job : jobs) {
      job.missesDeadline = false;
      if (job.releaseDeadlineMs != Long.MAX_VALUE && job.finalPhase == null) {
        entries.add(entry(job, totalCapacity, wallMs));
      }
    }
    Set<String> missed = missed(entries);
    for (Job job : jobs) {
      job.missesDeadline = missed.contains(job.spec.ref());
    }
  }

  private static Entry entry(Job job, Resources totalCapacity, long wallMs) {
    double share =
        Math.max(
            ratio(job.spec.gpus(), totalCapacity.gpus()),
            ratio(job.spec.cpus(), totalCapacity.cpus()));
    int tasks = job.spec.shape() == JobShape.GANG ? job.spec.tasks() : job.remaining();
    double runS = job.remainingRunMs / MS_PER_S;
    // However many machines there are, a job takes at least the run time of one task.
    double dueS =
        (job.releaseDeadlineMs - wallMs) / MS_PER_S - runS * (1 - Math.min(1, share * tasks));
    return new Entry(job.spec.ref(), share * tasks * runS, dueS);
  }

  private static double ratio(double wanted, double total) {
    return wanted <= 0 || total <= 0 ? 0 : wanted / total;
  }
}
