package io.embernotch.ledger;

import io.embernotch.env.Env;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A task that fails is the machine's fault, unless its job fails wherever it goes. */
public final class Blame {
  private static final Logger LOG = LoggerFactory.getLogger(Blame.class);

  private final Env env;
  private final Ledger ledger;

  public Blame(Env env, Ledger ledger) {
    this.env = env;
    this.ledger = ledger;
  }

  public void failed(Attempt a, Machine m, double now) {
    Job job = a.job;
    double report = env.settings().workers().reportS();
    job.errors++;
    if (job.done.isEmpty()) {
      job.errorMachines.add(m.name);
    }
    if (job.errorMachines.size() >= 3) {
      job.backoffUntil = now + Math.min(env.settings().workers().leaseS(), report * (1 << Math.min(5, job.errors - 3)));
      for (String name : job.errorMachines) {
        Machine other = ledger.machines.get(name);
        if (other != null && other.failedJobs.equals(Set.of(job.spec.ref()))) {
          other.errorStreak = 0;
          other.avoidUntil = 0;
          other.cordoned = false;
          other.failedJobs.clear();
        }
      }
      return;
    }
    m.errorStreak++;
    m.failedJobs.add(job.spec.ref());
    m.avoidUntil = now + report * (1 << Math.min(4, m.errorStreak));
    if ((m.failedJobs.size() >= 2 || m.errorStreak >= 3) && !m.cordoned) {
      LOG.info("machine {} fails what it starts", m.name);
      m.cordoned = true;
    }
  }

  /** A task was done: neither its machine nor its job is at fault. */
  public void cleared(Job job, Machine m) {
    m.errorStreak = 0;
    m.failedJobs.clear();
    job.errorMachines.clear();
    job.backoffUntil = 0;
  }
}
