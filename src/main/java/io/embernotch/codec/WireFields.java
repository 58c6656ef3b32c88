package io.embernotch.codec;

/**
 * Field names that several JSON formats of the platform share: submissions, heartbeats of workers
 * and the cloud API. The platform's protocol defines these names; each constant is named after the
 * term that the code uses.
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

  /** Whether a machine is a spot machine; in a submission: whether the job may use them. */
  static final String SPOT = "loaner";

  /** A worker's address as HOST:PORT. */
  static final String ADDRESS = "address";

  /** State of a task or a machine, or phase of a job. */
  static final String PHASE = "phase";

  /** Id of a task as JOB/NUMBER. */
  static final String TASK = "shard";

  /** List of tasks; in a submission: number of tasks. */
  static final String TASKS = "shards";

  /** Number of CPUs. */
  static final String CPUS = "cores";

  /** Number of GPUs. */
  static final String GPUS = "cards";

  /** Memory in GB. */
  static final String MEM_GB = "mem_gb";

  private WireFields() {}
}
