package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import java.util.Collection;
import java.util.function.ToDoubleFunction;

/** Times that hold for the best of the machine types that a job fits. */
public final class MachineTypes {
  private MachineTypes() {}

  /** Seconds until a machine for the job has booted; 0 if it fits none. */
  public static double shortestBootS(Collection<MachineType> types, JobSpec spec) {
    return shortest(types, spec, MachineType::bootS);
  }

  /** Seconds until the job's image is fetched; 0 if it fits no machine. */
  public static double shortestFetchS(Collection<MachineType> types, JobSpec spec) {
    return shortest(types, spec, type -> type.fetchS(spec));
  }

  private static double shortest(
      Collection<MachineType> types, JobSpec spec, ToDoubleFunction<MachineType> seconds) {
    return types.stream().filter(type -> type.fits(spec)).mapToDouble(seconds).min().orElse(0);
  }
}
