package io.embernotch.settings;

import java.util.List;
import java.util.Map;

/**
 * The settings file that the platform hands over, checked.
 *
 * @param node name of this controller
 * @param location zone of this controller
 * @param clientListen address for users, workers and health checks
 * @param peerListen address for the other controllers
 * @param members the other controllers
 * @param cloudAddress address of the cloud
 * @param storeAddress address of the store
 * @param zones names of all zones, at least one
 * @param timeBoundMs milliseconds by which the time of day may be wrong
 * @param teams teams by name, in the order of the file
 * @param objectives what is expected of the cluster
 * @param workers times that workers go by
 * @param storeLimits present limits of the store
 * @param nextStoreLimits limits that the store may change to without notice, or the same
 * @param cloudLimits limits of the cloud
 * @param quota what this process may use
 */
public record Settings(
    String node,
    String location,
    HostPort clientListen,
    HostPort peerListen,
    List<Member> members,
    HostPort cloudAddress,
    HostPort storeAddress,
    List<String> zones,
    double timeBoundMs,
    Map<String, Team> teams,
    List<Objective> objectives,
    WorkerTimings workers,
    StoreLimits storeLimits,
    StoreLimits nextStoreLimits,
    CloudLimits cloudLimits,
    Quota quota) {

  /**
   * Another controller.
   *
   * @param node its name
   * @param location its zone
   * @param address its address for other controllers
   */
  public record Member(String node, String location, HostPort address) {}

  /**
   * What a team is guaranteed and what it may use at most.
   *
   * @param name unique name
   * @param cpus guaranteed CPUs; 0: none
   * @param cpusMax most CPUs; 0: no limit
   * @param gpus guaranteed GPUs; 0: none
   * @param gpusMax most GPUs; 0: no limit
   */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /** Whether nothing is guaranteed to it. */
    public boolean guest() {
      return cpus <= 0 && gpus <= 0;
    }
  }

  /** Whether nothing is guaranteed to a team, or it is unknown. */
  public boolean guest(String team) {
    Team known = teams.get(team);
    return known == null || known.guest();
  }

  /**
   * One objective; fields that its kind does not use are 0 or null.
   *
   * @param kind what is measured
   * @param jobClass class of jobs that it is about
   * @param withinS seconds within which it is to happen
   * @param share share of the cases in which it is to happen
   */
  public record Objective(String kind, String jobClass, double withinS, double share) {}

  /**
   * Times that the workers go by, in seconds.
   *
   * @param heartbeatIntervalS between two heartbeats of a worker
   * @param leaseS from the last renewal until a worker's lease expires
   * @param gangWaitS for which a gang's task waits for the others
   * @param gangPeerS within which a gang's tasks notice that one is gone
   * @param cancelS after a user was told of a cancellation, within which nothing of the job may run
   */
  public record WorkerTimings(
      double heartbeatIntervalS,
      double leaseS,
      double gangWaitS,
      double gangPeerS,
      double cancelS) {}

  /**
   * Limits of the store.
   *
   * @param rps requests a second
   * @param writeRps writes a second
   * @param valueKb size of a value in KiB
   * @param txnOps operations in a transaction
   */
  public record StoreLimits(double rps, double writeRps, double valueKb, int txnOps) {}

  /**
   * Limits of the cloud.
   *
   * @param rps requests a second
   * @param listLagS seconds by which its lists lag
   */
  public record CloudLimits(double rps, double listLagS) {
    /** Most machines that one request may rent ("Cloud" in the protocol). */
    public static final int MAX_RENT = 50;

    /** Most names that one request may delete ("Cloud" in the protocol). */
    public static final int MAX_DELETE = 100;
  }

  /**
   * What this process may use.
   *
   * @param cpuShare share of a core
   * @param memoryMb memory in MB
   * @param maxConnections open connections
   */
  public record Quota(double cpuShare, double memoryMb, int maxConnections) {
    private static final int MIN_DIRECT_CALLS = 8;
    private static final int CONNECTIONS_PER_DIRECT_CALL = 5;

    /** Far more jobs a connection than users ask a node about. */
    private static final int JOBS_PER_CONNECTION = 32;

    /** Far more machines a connection than the workers that share this process's connections. */
    private static final int MACHINES_PER_CONNECTION = 4;

    /**
     * Most calls to workers at a time: most of the connections are those of workers and users to
     * this process.
     */
    public int directCalls() {
      return Math.max(MIN_DIRECT_CALLS, maxConnections / CONNECTIONS_PER_DIRECT_CALL);
    }

    /**
     * Number of accepted connections above which those of workers are closed with each response:
     * what is left beside this process's own calls must do for users, health checks and other
     * controllers, however many workers there are.
     */
    public int connectionPressureThreshold() {
      return (maxConnections - directCalls()) * 3 / 4;
    }

    /** Bound for what is remembered of each job: more jobs than users ask a node about. */
    public int rememberedJobs() {
      return JOBS_PER_CONNECTION * maxConnections;
    }

    /**
     * Bound for what is remembered of each machine: more machines than a fleet has whose workers
     * share this many connections.
     */
    public int rememberedMachines() {
      return MACHINES_PER_CONNECTION * maxConnections;
    }
  }

  /**
   * The smaller of the store's present and next limits. The store changes them without notice, so
   * everything that is written, and how fast, goes by these.
   */
  public StoreLimits minStoreLimits() {
    return new StoreLimits(
        Math.min(storeLimits.rps(), nextStoreLimits.rps()),
        Math.min(storeLimits.writeRps(), nextStoreLimits.writeRps()),
        Math.min(storeLimits.valueKb(), nextStoreLimits.valueKb()),
        Math.min(storeLimits.txnOps(), nextStoreLimits.txnOps()));
  }

  /** Upper bound of the share by which steady clocks of two machines drift apart. */
  public static final double DRIFT = 0.001;

  /** Share of the time that a cancellation leaves beside a worker's lease. */
  private static final double LEGACY_GRACE_SHARE = 0.8;

  /** The contact timeout is a worker's lease divided by this. */
  private static final int CONTACT_TIMEOUTS_PER_LEASE = 4;

  /** Duration of the leader's lease in the store, in seconds. */
  public double leaderLeaseS(OperatorSettings operatorSettings) {
    return operatorSettings.leaseHeartbeats() > 0
        ? workers.heartbeatIntervalS() * operatorSettings.leaseHeartbeats()
        : workers.leaseS() * operatorSettings.leaseShare();
  }

  /**
   * The leadership grace period in seconds: how long worker leases are renewed by those who cannot
   * reach a leader or prove to be one, that is a leader partitioned from the store, and a
   * controller partitioned with its zone. It is one worker lease longer than {@link
   * #legacyGracePeriodS}; so a cancellation is only confirmed once each task of the job is proven
   * gone, or must be in time whoever renews ("ran_cancelled" in docs/design/correctness.md).
   */
  public double gracePeriodS() {
    return legacyGracePeriodS() + workers.leaseS();
  }

  /**
   * The grace period while a controller of the version before may take over, which confirms
   * cancellations at once: together with a worker lease it stays below {@code cancel_s}.
   */
  public double legacyGracePeriodS() {
    return LEGACY_GRACE_SHARE * Math.max(0, workers.cancelS() - workers.leaseS());
  }

  /** Seconds without an answer of the leader after which a controller is out of contact with it. */
  public double contactTimeoutS() {
    return workers.leaseS() / CONTACT_TIMEOUTS_PER_LEASE;
  }
}
