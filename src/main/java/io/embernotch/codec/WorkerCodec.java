package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.AgentCommand;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.TaskState;
import io.embernotch.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;

/** Reads heartbeats of workers, and encodes the responses to them and direct commands. */
public final class WorkerCodec {
  /** Agent epoch; the worker increments it whenever its lease expires. */
  private static final String AGENT_EPOCH = "tenure";

  /** Sequence number of a heartbeat. */
  private static final String SEQ = "tick";

  /** Fencing token. */
  private static final String TOKEN = "baton";

  /** Seconds until the cloud reclaims a spot machine; absent without notice. */
  private static final String RECLAIM_IN_S = "recall_s";

  /** Number of an attempt. */
  private static final String ATTEMPT = "try";

  /** Why a task exited. */
  private static final String EXIT_CAUSE = "cause";

  /** Whether a stopped task has saved its progress. */
  private static final String SAVED = "stored";

  /** List of commands. */
  private static final String COMMANDS = "orders";

  /** Verb of a command. */
  private static final String VERB = "verb";

  /** Grace period in seconds for a stopped task to save its progress. */
  private static final String GRACE_S = "linger_s";

  /** Values of the task states, exit causes and verbs. */
  private static final String FETCHING = "fetching";

  private static final String WAITING = "gathering";
  private static final String RUNNING = "running";
  private static final String SAVING = "saving";
  private static final String EXITED = "exited";
  private static final String DONE = "done";
  private static final String STOPPED = "halted";
  private static final String PEERS = "peers";
  private static final String ALONE = "alone";
  private static final String NO_ROOM = "no_room";
  private static final String BUSY = "in_use";
  private static final String UNKNOWN = "unknown";
  private static final String START = "run";
  private static final String STOP = "stop";
  private static final String FORGET = "reap";

  private WorkerCodec() {}

  /**
   * Reads a heartbeat.
   *
   * @throws MalformedInputException if a field is missing or has the wrong type, or a task's state
   *     is unknown
   */
  public static Heartbeat read(byte[] body) {
    ObjectNode json = Json.parseObject(body);
    List<TaskStatus> tasks = readTasks(Json.optional(json, WireFields.TASKS));
    JsonNode reclaim = Json.optional(json, RECLAIM_IN_S);
    return new Heartbeat(
        Json.text(json, WireFields.MACHINE),
        Json.text(json, WireFields.ADDRESS),
        Json.text(json, WireFields.TYPE),
        Json.text(json, WireFields.ZONE),
        Json.boolOr(json, WireFields.SPOT, false),
        Json.whole(json, AGENT_EPOCH),
        Json.whole(json, SEQ),
        Json.whole(json, TOKEN),
        reclaim == null ? null : Math.max(0, reclaim.asDouble()),
        tasks);
  }

  private static List<TaskStatus> readTasks(JsonNode tasks) {
    List<TaskStatus> list = new ArrayList<>();
    if (tasks == null) {
      return list;
    }
    if (!tasks.isArray()) {
      throw new MalformedInputException(WireFields.TASKS + ": must be an array");
    }
    for (JsonNode entry : tasks) {
      list.add(readTask(entry));
    }
    return list;
  }

  private static TaskStatus readTask(JsonNode entry) {
    String name = Json.text(entry, WireFields.TASK);
    int slash = name.lastIndexOf('/');
    int index = taskIndex(name, slash);
    TaskState state = state(Json.text(entry, WireFields.PHASE));
    JsonNode cause = Json.optional(entry, EXIT_CAUSE);
    return new TaskStatus(
        name.substring(0, slash),
        index,
        Json.whole(entry, ATTEMPT),
        state,
        state == TaskState.EXITED ? exitCause(cause == null ? "" : cause.asText()) : null,
        Json.boolOr(entry, SAVED, false));
  }

  private static int taskIndex(String name, int slash) {
    int index;
    try {
      index = Integer.parseInt(name.substring(slash + 1));
    } catch (NumberFormatException e) {
      throw malformedTaskId(name);
    }
    if (slash <= 0 || index < 0) {
      throw malformedTaskId(name);
    }
    return index;
  }

  private static MalformedInputException malformedTaskId(String name) {
    return new MalformedInputException(WireFields.TASK + ": not JOB/NUMBER: " + name);
  }

  private static TaskState state(String text) {
    return switch (text) {
      case FETCHING -> TaskState.FETCHING;
      case WAITING -> TaskState.WAITING;
      case RUNNING -> TaskState.RUNNING;
      case SAVING -> TaskState.SAVING;
      case EXITED -> TaskState.EXITED;
      default -> throw new MalformedInputException(WireFields.PHASE + ": unknown: " + text);
    };
  }

  private static ExitCause exitCause(String text) {
    return switch (text) {
      case DONE -> ExitCause.DONE;
      case STOPPED -> ExitCause.STOPPED;
      case PEERS -> ExitCause.PEERS;
      case ALONE -> ExitCause.ALONE;
      case NO_ROOM -> ExitCause.NO_ROOM;
      case BUSY -> ExitCause.BUSY;
      case UNKNOWN -> ExitCause.UNKNOWN;
      default -> ExitCause.ERROR;
    };
  }

  /**
   * Encodes the response to a heartbeat. It renews the worker's lease.
   *
   * @param token fencing token of the commands
   * @param commands commands to execute; may be empty
   */
  public static byte[] response(long token, List<AgentCommand> commands) {
    return Json.bytes(putCommands(Json.object().put(TOKEN, token), commands));
  }

  /**
   * Encodes a response without a token. Per the platform's protocol ("Tokens"), a worker ignores
   * such a response: its lease is not renewed, it executes nothing, and it keeps sending heartbeats
   * to the controller that answered.
   */
  public static byte[] emptyResponse() {
    return Json.bytes(Json.object().set(COMMANDS, Json.object().arrayNode()));
  }

  /**
   * Encodes the body of a request that sends commands to a worker directly.
   *
   * @param token fencing token of the commands
   * @param agentEpoch expected agent epoch; the worker rejects the commands if its own differs
   * @param commands commands to execute
   */
  public static byte[] directCommand(long token, long agentEpoch, List<AgentCommand> commands) {
    return Json.bytes(
        putCommands(Json.object().put(TOKEN, token).put(AGENT_EPOCH, agentEpoch), commands));
  }

  private static ObjectNode putCommands(ObjectNode json, List<AgentCommand> commands) {
    ArrayNode list = json.putArray(COMMANDS);
    for (AgentCommand command : commands) {
      ObjectNode entry = list.addObject();
      entry.put(VERB, verb(command.verb()));
      entry.put(WireFields.TASK, command.ref() + "/" + command.task());
      entry.put(ATTEMPT, command.attempt());
      if (command.verb() == AgentCommand.Verb.STOP) {
        entry.put(GRACE_S, command.graceS());
      }
    }
    return json;
  }

  private static String verb(AgentCommand.Verb verb) {
    return switch (verb) {
      case START -> START;
      case STOP -> STOP;
      case FORGET -> FORGET;
    };
  }
}
