package io.embernotch.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** A rented machine as the leader knows it. */
public final class Machine {
  public final String name;
  public MachineType type;
  public String zone;
  public boolean spot;
  public String address;

  /** Rented at about this time. */
  public double rentedAt;

  /** Until then it is counted on to come up, or to find us. */
  public double expectedUntil;

  /**
   * When the cloud first listed it as running, though its worker may not have found us yet; below 0
   * if it has not.
   */
  public double listedUpAt = -1;

  /** Last report of any age, and last one that we answered with 200; below 0 if none. */
  public double lastHeartbeatAt = -1;

  public double leaseRenewedAt = -1;
  public long agentEpoch;
  public long heartbeatSeq;

  /** The token that our messages to it carry. */
  public long token;

  /** Highest token it has reported. */
  public long highestReportedToken;

  /**
   * After it has begun another incarnation: reports under lower tokens may be of the former one.
   */
  public long incarnationToken;

  /** Highest token under which a start was sent straight to it. */
  public long highestSentToken;

  /**
   * The token that its last heartbeat was answered with, and the highest that it has shown in
   * reports; 0 if none.
   */
  public long lastAnsweredToken;

  public long acknowledgedToken;

  /** A controller that nothing has come by. */
  public static final long NO_FORWARDER = -1;

  /**
   * The controller by which its last heartbeat came, and how often in a row that was another one.
   */
  public long lastForwarder = NO_FORWARDER;

  public int forwarderChanges;

  /** Signs in a row that it does not hear us; whether a call is one of them. */
  public int missedAcknowledgements;

  public boolean callUnanswered;

  /** Since when it is taken for unreachable; below 0 while it is not. */
  public double unreachableSince = -1;

  /** When it was last proven to hear us, and so to be alive in this term; below 0 if it was not. */
  public double confirmedAliveAt = -1;

  /** When it was first heard. */
  public double upAt = -1;

  /** Highest token of a direct command that went unanswered. */
  public long unconfirmedToken;

  public boolean commandInFlight;
  public double commandFailedAt = -1e9;
  public boolean probing;

  /** When it was last asked because of a heartbeat that was no news. */
  public double statusRequestedAt = -1e9;

  /** When it last did not answer a probe, and whether it took the connection then. */
  public double probeFailedAt = -1e9;

  public boolean probeConnected;

  /** The cloud takes it at this time; below 0 without notice. */
  public double reclaimAt = -1;

  /** Nothing new is put here; it is returned once empty. */
  public boolean cordoned;

  public boolean deleting;
  public double deleteRetryAt;
  public boolean failed;
  public int errorStreak;

  /** Jobs whose tasks failed here since the last success, and how many. */
  public final Map<String, Integer> failures = new HashMap<>();

  public double avoidUntil;

  /** Empty since this time. */
  public double idleSince;

  public final Map<String, Attempt> openAttempts = new LinkedHashMap<>();

  /** What is held free here for reservations. */
  public double reservedCpus;

  public double reservedGpus;
  public double reservedMemGb;
  private MachineLoad load;
  private double performance;

  /** Counts the changes of its attempts. */
  public int version;

  /** Images it has, least recently used first. */
  public final Set<String> images = new LinkedHashSet<>();

  /** Job mean over actual run time of the tasks it finished lately. */
  public final Deque<Double> ratios = new ArrayDeque<>();

  public Machine(String name) {
    this.name = name;
  }

  /** Something of its open attempts has changed. */
  public void attemptsChanged() {
    load = null;
    version++;
  }

  public MachineLoad load() {
    if (load == null) {
      load = new MachineLoad(openAttempts.values());
    }
    return load;
  }

  public boolean up() {
    return lastHeartbeatAt >= 0;
  }

  /** Nothing new is started where commands may not arrive. */
  public boolean suspectedUnreachable() {
    return unreachableSince >= 0 || callUnanswered;
  }

  /**
   * When it last gave a sign of life that is no copy from long ago. Before it has shown a token of
   * ours, or answered, only its first heartbeat counts: copies of what it said before it ended may
   * go on coming.
   */
  public double lastSignOfLifeAt() {
    return confirmedAliveAt >= 0 ? lastHeartbeatAt : upAt;
  }

  public static String taskKey(String ref, int task) {
    return ref + "/" + task;
  }

  /** Notes how fast a finished run was; the last {@code lately} count. */
  public void recordFinished(double ratio, int lately) {
    ratios.addLast(ratio);
    while (ratios.size() > lately) {
      ratios.removeFirst();
    }
    performance = ratios.stream().mapToDouble(r -> r).average().orElse(0);
    version++;
  }

  /** Its own mean performance, or 0 if it finished nothing lately. */
  public double performance() {
    return performance;
  }
}
