package io.embernotch.model;

import io.embernotch.actor.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** A rented machine as the leader knows it. */
public final class Machine {
  /** Stands for {@link #lastForwarder} before the first heartbeat. */
  public static final long NO_FORWARDER = -1;

  /** Unique name of the machine. */
  public final String name;

  /** Its type; null while it is not known. */
  public MachineType type;

  /** Its zone; null while it is not known. */
  public String zone;

  /** Whether it is a spot machine, which the cloud may reclaim. */
  public boolean spot;

  /** Address of its worker as HOST:PORT; null while it is not known. */
  public String address;

  /** When it was rented, approximately. */
  public double rentedAt;

  /** Until this time it is expected to come up, or to find this leader. */
  public double expectedUntil;

  /**
   * When the cloud first listed it as running, though its worker may not have found this leader
   * yet; below 0 before.
   */
  public double listedUpAt = -1;

  /** When its last heartbeat was received, however old the heartbeat was; below 0 before. */
  public double lastHeartbeatAt = -1;

  /** When its last heartbeat was answered such that its lease was renewed; below 0 before. */
  public double leaseRenewedAt = -1;

  /** Agent epoch of the newest heartbeat. */
  public long agentEpoch;

  /** Sequence number of the newest heartbeat. */
  public long heartbeatSeq;

  /** Fencing token that messages to it carry. */
  public long token;

  /** Highest fencing token that it has reported. */
  public long highestReportedToken;

  /**
   * Set when its worker has begun another process incarnation: heartbeats under lower tokens may be
   * of the former one.
   */
  public long incarnationToken;

  /** Highest fencing token that this term has sent it in any message; 0 if none was sent. */
  public long highestIssuedToken;

  /** Fencing token that its last heartbeat was answered with; 0 if none was. */
  public long lastAnsweredToken;

  /** Highest fencing token that it has shown in heartbeats; 0 if none. */
  public long acknowledgedToken;

  /**
   * Process incarnation of the controller that forwarded its last heartbeat, or {@link
   * #NO_FORWARDER}.
   */
  public long lastForwarder = NO_FORWARDER;

  /** How many times in a row a heartbeat came by another controller than the one before. */
  public int forwarderChanges;

  /** Signs in a row that responses do not reach it. */
  public int unreachableSigns;

  /** Whether an unanswered call is one of those signs. */
  public boolean callUnanswered;

  /** When it was found unreachable; below 0 while it is not. */
  public double unreachableSince = -1;

  /**
   * When it was last proven to receive this leader's messages, and so to be alive in this term;
   * below 0 before.
   */
  public double confirmedAliveAt = -1;

  /** When its first heartbeat was received; below 0 before. */
  public double upAt = -1;

  /** Highest fencing token under which a start may have been sent that the worker lost. */
  public long unconfirmedToken;

  /** When it was first seen to have received a higher fencing token than it had reported before. */
  public double tokenRaisedAt = Clock.NEVER;

  /** When a heartbeat was last requested from it, because a start was due. */
  public double heartbeatRequestedAt = Clock.NEVER;

  /** Whether a direct command is on the way. */
  public boolean commandInFlight;

  /** When a direct command last failed. */
  public double commandFailedAt = Clock.NEVER;

  /** Whether a probe is under way. */
  public boolean probing;

  /** When its status was last requested because of a heartbeat that was not newer. */
  public double statusRequestedAt = Clock.NEVER;

  /** When it last did not answer a probe. */
  public double probeFailedAt = Clock.NEVER;

  /** Whether it took the connection of that probe. */
  public boolean probeConnected;

  /** When the cloud reclaims it; below 0 without notice. */
  public double reclaimAt = -1;

  /** Whether nothing new is placed here; it is returned once empty. */
  public boolean cordoned;

  /** Whether it is being returned to the cloud. */
  public boolean deleting;

  /** When its deletion is tried again. */
  public double deleteRetryAt;

  /** Whether the cloud listed it as failed. */
  public boolean failed;

  /** Failed tasks in a row that are attributed to it. */
  public int errorStreak;

  /** Ids of the jobs whose tasks failed here since the last success, with their number. */
  public final Map<String, Integer> failures = new HashMap<>();

  /** Nothing is placed here before this time. */
  public double avoidUntil;

  /** Since when it has had no open attempts. */
  public double idleSince;

  /** Open attempts by {@link #taskKey}, in the order of their opening. */
  public final Map<String, Attempt> openAttempts = new LinkedHashMap<>();

  /** CPUs that are kept free here for reservations. */
  public double reservedCpus;

  /** GPUs that are kept free here for reservations. */
  public double reservedGpus;

  /** Memory in GB that is kept free here for reservations. */
  public double reservedMemGb;

  /** Counts the changes of its attempts. */
  public int version;

  /** Names of the images that it has, least recently used first. */
  public final Set<String> images = new LinkedHashSet<>();

  /** Job mean over actual run time of the tasks that it finished lately, the latest last. */
  public final Deque<Double> ratios = new ArrayDeque<>();

  /** Null after a change, until it is asked for. */
  private MachineLoad load;

  private double performance;

  /** A machine of which nothing but its name is known. */
  public Machine(String name) {
    this.name = name;
  }

  /** To be called whenever its open attempts, or what they take, have changed. */
  public void attemptsChanged() {
    load = null;
    version++;
  }

  /** What its open attempts take of it. */
  public MachineLoad load() {
    if (load == null) {
      load = new MachineLoad(openAttempts.values());
    }
    return load;
  }

  /** Whether its worker has sent a heartbeat. */
  public boolean up() {
    return lastHeartbeatAt >= 0;
  }

  /** Whether commands may not arrive there, so that nothing new is to be started. */
  public boolean suspectedUnreachable() {
    return unreachableSince >= 0 || callUnanswered;
  }

  /**
   * When it last gave a sign of life that cannot be a late copy; below 0 if it never did. Before it
   * has shown a token of this leader, or answered a call, only its first heartbeat counts: copies
   * of those that it sent before it ended may keep arriving.
   */
  public double lastSignOfLifeAt() {
    return confirmedAliveAt >= 0 ? lastHeartbeatAt : upAt;
  }

  /** The key of a task among open attempts. */
  public static String taskKey(String ref, int task) {
    return ref + "/" + task;
  }

  /**
   * Records how fast a finished run was.
   *
   * @param ratio job mean over actual run time
   * @param remembered number of the latest runs that count
   */
  public void recordFinished(double ratio, int remembered) {
    ratios.addLast(ratio);
    while (ratios.size() > remembered) {
      ratios.removeFirst();
    }
    performance = ratios.stream().mapToDouble(r -> r).average().orElse(0);
    version++;
  }

  /** Mean of {@link #ratios}; 0 if there are none. */
  public double performance() {
    return performance;
  }
}
