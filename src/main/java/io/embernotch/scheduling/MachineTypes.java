package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import java.util.Collection;
import java.util.function.ToDoubleFunction;

/** Shortest times over the machine types that a job fits. */
public final class MachineTypes {
  private MachineTypes() {}

  /** Returns the shortest boot time in seconds of a type that the job fits; 0 if it fits none. */
  public static double shortestBootS(Collection<MachineType> types, JobSpec spec) {
    return shortest(types, spec, MachineType::bootS);
  }

  /** Returns the shortest time in seconds to fetch the job's image; 0 if the job fits no type. */
  public static double shortestFetchS(Collection<MachineType> types, JobSpec spec) {
    return shortest(types, spec, type -> type.fetchS(spec));
  }

  private static double shortest(
      Collection<MachineType> types, JobSpec spec, ToDoubleFunction<MachineType> seconds) {
    return types.stream().filter(type -> type.fits(spec)).mapToDouble(seconds).min().orElse(0);
  }
}
