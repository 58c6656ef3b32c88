package io.embernotch.jobs;

import io.embernotch.context.ControllerContext;
import io.embernotch.state.ClusterState;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.persistence.StateWriter;
import io.embernotch.store.RateLimiter.Rank;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * How jobs end: decided once, told once the store holds it, and let go when nothing of them is
 * left.
 */
public final class JobCompletions {
  private final ControllerContext env;
  private final ClusterState ledger;
  private final StateWriter committer;
  private final DependencyGraph chains;

  /** Is told of ends with nothing open or unwritten behind them. */
  private final BiConsumer<String, ClusterState.Ended> letGo;

  /** Jobs whose end is decided, until nothing of them is open or unwritten. */
  private final Set<Job> ending = new LinkedHashSet<>();

  public JobCompletions(
      ControllerContext env,
      ClusterState ledger,
      StateWriter committer,
      DependencyGraph chains,
      BiConsumer<String, ClusterState.Ended> letGo) {
    this.env = env;
    this.ledger = ledger;
    this.committer = committer;
    this.chains = chains;
    this.letGo = letGo;
  }

  /** Ends that an earlier leader has decided. */
  public void takeOver() {
    ending.clear();
    ledger.jobs.values().stream().filter(j -> j.end != null).forEach(ending::add);
  }

  /** Decides an end. Jobs that need this one learn of it when it is committed, not before. */
  public void decide(Job job, JobPhase end) {
    job.end = end;
    job.endedMs = env.clock().wallMs();
    ending.add(job);
    committer.now(
        job,
        0,
        Rank.FIRST,
        () -> {
          job.endKept = true;
          chains.ended(job);
        });
  }

  /** The end of a job follows from one that is kept; it is written for those who read the store. */
  public void follows(Job job) {
    ending.add(job);
    committer.soon(job, 0);
  }

  /** Nothing of a job that is told to be cancelled is left in a zone. */
  public boolean clear(String zone) {
    return ending.stream()
        .filter(j -> j.end == JobPhase.CANCELLED)
        .allMatch(j -> j.open.values().stream().noneMatch(a -> a.zone.equals(zone)));
  }

  /** Lets go of jobs that have ended, once nothing of them is open or unwritten. */
  public void retire() {
    for (Job job : List.copyOf(ending)) {
      if (job.open.isEmpty() && !committer.isDirty(job)) {
        String ref = job.spec.ref();
        ClusterState.Ended end = ClusterState.Ended.of(job);
        ending.remove(job);
        ledger.jobs.remove(ref);
        ledger.ended.put(ref, end);
        letGo.accept(ref, end);
      }
    }
  }
}
