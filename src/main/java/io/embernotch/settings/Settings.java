package io.embernotch.settings;

import java.util.List;
import java.util.Map;

/** The settings file that the platform hands over, checked. */
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

  /** Another controller. */
  public record Member(String node, String location, HostPort address) {}

  /** What a team is guaranteed and what it may use at most; 0 means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /** Nothing is guaranteed to it. */
    public boolean guest() {
      return cpus <= 0 && gpus <= 0;
    }
  }

  /** A team that nothing is guaranteed to, or one that the settings do not know. */
  public boolean guest(String team) {
    Team known = teams.get(team);
    return known == null || known.guest();
  }

  /** One aim; fields that its kind does not use are 0 or null. */
  public record Objective(String kind, String jobClass, double withinS, double share) {}

  /** Times that the workers go by, in seconds. */
  public record WorkerTimings(
      double heartbeatIntervalS,
      double leaseS,
      double gangWaitS,
      double gangPeerS,
      double cancelS) {}

  /** Limits of the store; {@code stateNext} are those that it will have, or the same. */
  public record StoreLimits(double rps, double writeRps, double valueKb, int txnOps) {}

  /** Limits of the cloud: requests a second, and by how many seconds its lists lag. */
  public record CloudLimits(double rps, double listLagS) {
    /**
     * Most machines that one request may rent, and most names that one may delete ("Cloud" in the
     * protocol).
     */
    public static final int MAX_RENT = 50;

    public static final int MAX_DELETE = 100;
  }

  /** What this process may use. */
  public record Quota(double cpuShare, double memoryMb, int maxConnections) {
    /**
     * Calls to workers that may be under way at a time: most of the connections are theirs to us,
     * and users'.
     */
    public int directCalls() {
      return Math.max(8, maxConnections / 5);
    }

    /**
     * Connections taken at a time from which on workers' are closed with each answer: what is left
     * beside our own calls must do for users, health checks and other controllers, however many
     * workers there are.
     */
    public int connectionPressureThreshold() {
      return (maxConnections - directCalls()) * 3 / 4;
    }

    /** More jobs than users ask a node about, for what is remembered of each. */
    public int rememberedJobs() {
      return 32 * maxConnections;
    }

    /**
     * More machines than a fleet has whose workers share this many connections; for what is
     * remembered of each.
     */
    public int rememberedMachines() {
      return 4 * maxConnections;
    }
  }

  /**
   * What fits the store now and once its limits have been lowered, which it does without notice:
   * everything that is written, and how fast, goes by the smaller of both.
   */
  public StoreLimits minStoreLimits() {
    return new StoreLimits(
        Math.min(storeLimits.rps(), nextStoreLimits.rps()),
        Math.min(storeLimits.writeRps(), nextStoreLimits.writeRps()),
        Math.min(storeLimits.valueKb(), nextStoreLimits.valueKb()),
        Math.min(storeLimits.txnOps(), nextStoreLimits.txnOps()));
  }

  /** Steady clocks of two machines drift apart by at most this share, with some to spare. */
  public static final double DRIFT = 0.001;

  /** Life of the leader's state lease in seconds. */
  public double leaderLeaseS(OperatorSettings operator) {
    return operator.leaseHeartbeats() > 0
        ? workers.heartbeatIntervalS() * operator.leaseHeartbeats()
        : workers.leaseS() * operator.leaseShare();
  }

  /**
   * How long worker leases are renewed by those who cannot reach a leader or prove to be one: a
   * leader partitioned from the store, and a controller partitioned with its zone. One worker lease
   * longer than {@link #formerHoldS}; so a cancellation is only told once each task of the job is
   * proven gone, or must be in time whoever renews ("ran_cancelled" in ARCHITECTURE).
   */
  public double gracePeriodS() {
    return legacyGracePeriodS() + workers.leaseS();
  }

  /**
   * The same while a controller of the version before may take over, which tells cancellations at
   * once: this hold and a worker lease together stay below {@code cancel_s}.
   */
  public double legacyGracePeriodS() {
    return 0.8 * Math.max(0, workers.cancelS() - workers.leaseS());
  }

  /** A controller that has had no answer of the leader for so long is out of contact with it. */
  public double contactTimeoutS() {
    return workers.leaseS() / 4;
  }
}
