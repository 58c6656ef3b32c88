package io.embernotch.model;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * What a machine's open attempts take of it, summed up. It is made anew only after the machine has
 * changed, so that a plan over a thousand machines costs no more than what moved.
 */
public final class MachineLoad {
  public final double cpus;
  public final double gpus;
  public final double memGb;

  /** The part of it that is being stopped. */
  public final double freeingCpus;

  public final double freeingGpus;
  public final double freeingMemGb;

  /** Holds work that may not run on spot machines, so it is paid for whatever else it does. */
  public final boolean pinned;

  /** Least priority of what is not being stopped, or null if nothing is. */
  public final Priority lowestPriority;

  /** Images that are being fetched. */
  public final Set<String> fetching;

  /** What these attempts take together. */
  public MachineLoad(Collection<Attempt> open) {
    double c = 0;
    double g = 0;
    double m = 0;
    double fc = 0;
    double fg = 0;
    double fm = 0;
    boolean service = false;
    Priority low = null;
    Set<String> images = Set.of();
    for (Attempt attempt : open) {
      JobSpec spec = attempt.job.spec;
      c += spec.cpus();
      g += spec.gpus();
      m += spec.memGb();
      service |= spec.shape() == JobShape.SERVICE;
      if (attempt.stopping) {
        fc += spec.cpus();
        fg += spec.gpus();
        fm += spec.memGb();
      } else if (low == null || spec.priority().compareTo(low) < 0) {
        low = spec.priority();
      }
      if (attempt.state == TaskState.FETCHING || attempt.state == null) {
        images = images.isEmpty() ? new HashSet<>() : images;
        images.add(spec.image());
      }
    }
    cpus = c;
    gpus = g;
    memGb = m;
    freeingCpus = fc;
    freeingGpus = fg;
    freeingMemGb = fm;
    pinned = service;
    lowestPriority = low;
    fetching = images;
  }
}
