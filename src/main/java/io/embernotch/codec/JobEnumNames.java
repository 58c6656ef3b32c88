package io.embernotch.codec;

import io.embernotch.model.JobPhase;
import io.embernotch.model.JobShape;
import io.embernotch.model.Priority;
import java.util.Arrays;
import java.util.Optional;

/** Names of job shapes, priorities and phases in submissions, responses and stored values. */
final class JobEnumNames {
  /** Phases. */
  static final String QUEUED = "queued";

  static final String RUNNING = "running";
  static final String DONE = "done";
  static final String CANCELLED = "cancelled";

  /** Shapes. */
  private static final String ARRAY = "array";

  private static final String GANG = "group";
  private static final String SERVICE = "standing";

  /** Priorities. */
  private static final String LOW = "idle";

  private static final String NORMAL = "standard";
  private static final String HIGH = "high";
  private static final String PRODUCTION = "production";

  private JobEnumNames() {}

  static String phase(JobPhase phase) {
    return switch (phase) {
      case QUEUED -> QUEUED;
      case RUNNING -> RUNNING;
      case DONE -> DONE;
      case CANCELLED -> CANCELLED;
    };
  }

  /** Returns the phase with the given name; empty if there is none. */
  static Optional<JobPhase> phase(String text) {
    return Arrays.stream(JobPhase.values()).filter(phase -> phase(phase).equals(text)).findFirst();
  }

  static String shape(JobShape shape) {
    return switch (shape) {
      case ARRAY -> ARRAY;
      case GANG -> GANG;
      case SERVICE -> SERVICE;
    };
  }

  /**
   * Returns the shape with the given name.
   *
   * @throws MalformedInputException if the name is unknown
   */
  static JobShape shape(String text) {
    return switch (text) {
      case ARRAY -> JobShape.ARRAY;
      case GANG -> JobShape.GANG;
      case SERVICE -> JobShape.SERVICE;
      default -> throw new MalformedInputException("shape: must be array, group or standing");
    };
  }

  static String priority(Priority priority) {
    return switch (priority) {
      case LOW -> LOW;
      case NORMAL -> NORMAL;
      case HIGH -> HIGH;
      case PRODUCTION -> PRODUCTION;
    };
  }

  /**
   * Returns the priority with the given name.
   *
   * @throws MalformedInputException if the name is unknown
   */
  static Priority priority(String text) {
    return switch (text) {
      case LOW -> Priority.LOW;
      case NORMAL -> Priority.NORMAL;
      case HIGH -> Priority.HIGH;
      case PRODUCTION -> Priority.PRODUCTION;
      default ->
          throw new MalformedInputException("rank: must be production, high, standard or idle");
    };
  }
}
