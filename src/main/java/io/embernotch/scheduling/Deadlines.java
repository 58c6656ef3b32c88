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
 * Chooses which of the jobs that are for a release miss their deadline where not all can meet it.
 * As many as possible meet theirs (Moore and Hodgson: jobs are added in the order of their due
 * times, and whenever one would be late, the one with the longest processing time is left out).
 * Jobs that are left out are placed behind the others, and do not starve: see {@link JobOrdering}.
 */
public final class Deadlines {
  private static final double MS_PER_S = 1000.0;

  /**
   * One job with a deadline.
   *
   * @param ref the job's name
   * @param processingS seconds that it takes of all machines together
   * @param dueS seconds from now until it must be done
   */
  public record Entry(String ref, double processingS, double dueS) {}

  private Deadlines() {}

  /** The names of the jobs that miss their deadlines. */
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

  /** Sets {@link Job#missesDeadline} of each job, given the capacity of all machines together. */
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
    // A job is not done before one of its tasks has run, however many machines there are.
    double dueS =
        (job.releaseDeadlineMs - wallMs) / MS_PER_S - runS * (1 - Math.min(1, share * tasks));
    return new Entry(job.spec.ref(), share * tasks * runS, dueS);
  }

  private static double ratio(double wanted, double total) {
    return wanted <= 0 || total <= 0 ? 0 : wanted / total;
  }
}
