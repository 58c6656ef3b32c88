package io.embernotch.codec;

/**
 * Field names that more than one JSON format of the platform uses: submissions, heartbeats of
 * workers and the cloud's interface. The platform's protocol gives these names; each constant is
 * named after the term that the code uses for it.
 */
final class WireFields {
  /** Id of a job. In the cloud's machine list: name of a machine. */
  static final String REF = "ref";

  /** Name of a machine. */
  static final String MACHINE = "hearth";

  /** List of machines. */
  static final String MACHINES = "hearths";

  /** Name of a machine type. */
  static final String TYPE = "flavor";

  /** List of machine types. */
  static final String TYPES = "flavors";

  /** Name of a zone. */
  static final String ZONE = "room";

  /** List of zones. */
  static final String ZONES = "rooms";

  /** Whether a machine is a spot machine, or a job may run on one. */
  static final String SPOT = "loaner";

  /** A worker's address as HOST:PORT. */
  static final String ADDRESS = "address";

  /** State of a task or a machine, phase of a job. */
  static final String PHASE = "phase";

  /** One task as JOB/NUMBER. */
  static final String TASK = "shard";

  /** List of tasks, or their number. */
  static final String TASKS = "shards";

  /** Number of CPUs. */
  static final String CPUS = "cores";

  /** Number of GPUs. */
  static final String GPUS = "cards";

  /** Memory in GB. */
  static final String MEM_GB = "mem_gb";

  private WireFields() {}
}
