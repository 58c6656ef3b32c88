package io.embernotch.model;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * What a machine's open attempts take of it, summed up. It is computed anew only after the machine
 * has changed, so that a plan over a thousand machines costs no more than what changed.
 */
public final class MachineLoad {
  /** CPUs that open attempts take. */
  public final double cpus;

  /** GPUs that open attempts take. */
  public final double gpus;

  /** Memory in GB that open attempts take. */
  public final double memGb;

  /** The part of {@link #cpus} that is being stopped. */
  public final double freeingCpus;

  /** The part of {@link #gpus} that is being stopped. */
  public final double freeingGpus;

  /** The part of {@link #memGb} that is being stopped. */
  public final double freeingMemGb;

  /** Whether it runs services: these keep the machine, and so its price, whatever else it does. */
  public final boolean pinned;

  /** Lowest priority of the attempts that are not being stopped; null if there is none. */
  public final Priority lowestPriority;

  /** Names of the images that are being fetched. */
  public final Set<String> fetching;

  /** Sums up attempts. */
  public MachineLoad(Collection<Attempt> openAttempts) {
    double takenCpus = 0;
    double takenGpus = 0;
    double takenMemGb = 0;
    double stoppingCpus = 0;
    double stoppingGpus = 0;
    double stoppingMemGb = 0;
    boolean service = false;
    Priority lowest = null;
    Set<String> images = Set.of();
    for (Attempt attempt : openAttempts) {
      JobSpec spec = attempt.job.spec;
      takenCpus += spec.cpus();
      takenGpus += spec.gpus();
      takenMemGb += spec.memGb();
      service |= spec.shape() == JobShape.SERVICE;
      if (attempt.stopping) {
        stoppingCpus += spec.cpus();
        stoppingGpus += spec.gpus();
        stoppingMemGb += spec.memGb();
      } else if (lowest == null || spec.priority().compareTo(lowest) < 0) {
        lowest = spec.priority();
      }
      if (attempt.state == TaskState.FETCHING || attempt.state == null) {
        images = images.isEmpty() ? new HashSet<>() : images;
        images.add(spec.image());
      }
    }
    cpus = takenCpus;
    gpus = takenGpus;
    memGb = takenMemGb;
    freeingCpus = stoppingCpus;
    freeingGpus = stoppingGpus;
    freeingMemGb = stoppingMemGb;
    pinned = service;
    lowestPriority = lowest;
    fetching = images;
  }
}
