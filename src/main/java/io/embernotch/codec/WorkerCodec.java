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

/** Reports of workers and the orders they get. */
public final class WorkerCodec {
  private WorkerCodec() {}

  public static Heartbeat read(byte[] body) {
    ObjectNode json = Json.parseObject(body);
    JsonNode tasks = Json.opt(json, "shards");
    List<TaskStatus> list = new ArrayList<>();
    if (tasks != null) {
      if (!tasks.isArray()) {
        throw new MalformedInputException("shards: must be an array");
      }
      for (JsonNode entry : tasks) {
        list.add(task(entry));
      }
    }
    JsonNode recall = Json.opt(json, "recall_s");
    return new Heartbeat(
        Json.text(json, "hearth"),
        Json.text(json, "address"),
        Json.text(json, "flavor"),
        Json.text(json, "room"),
        Json.flagOr(json, "loaner", false),
        Json.whole(json, "tenure"),
        Json.whole(json, "tick"),
        Json.whole(json, "baton"),
        recall == null ? null : Math.max(0, recall.asDouble()),
        list);
  }

  private static TaskStatus task(JsonNode entry) {
    String name = Json.text(entry, "shard");
    int slash = name.lastIndexOf('/');
    int index;
    try {
      index = Integer.parseInt(name.substring(slash + 1));
    } catch (NumberFormatException e) {
      throw new MalformedInputException("shard: not JOB/NUMBER: " + name);
    }
    if (slash <= 0 || index < 0) {
      throw new MalformedInputException("shard: not JOB/NUMBER: " + name);
    }
    TaskState state = state(Json.text(entry, "phase"));
    JsonNode cause = Json.opt(entry, "cause");
    return new TaskStatus(
        name.substring(0, slash),
        index,
        Json.whole(entry, "try"),
        state,
        state == TaskState.EXITED ? cause(cause == null ? "" : cause.asText()) : null,
        Json.flagOr(entry, "stored", false));
  }

  private static TaskState state(String text) {
    return switch (text) {
      case "fetching" -> TaskState.FETCHING;
      case "gathering" -> TaskState.WAITING;
      case "running" -> TaskState.RUNNING;
      case "saving" -> TaskState.SAVING;
      case "exited" -> TaskState.EXITED;
      default -> throw new MalformedInputException("phase: unknown: " + text);
    };
  }

  private static ExitCause cause(String text) {
    return switch (text) {
      case "done" -> ExitCause.DONE;
      case "halted" -> ExitCause.STOPPED;
      case "peers" -> ExitCause.PEERS;
      case "alone" -> ExitCause.ALONE;
      case "no_room" -> ExitCause.NO_ROOM;
      case "in_use" -> ExitCause.BUSY;
      case "unknown" -> ExitCause.UNKNOWN;
      default -> ExitCause.ERROR;
    };
  }

  /** The answer to a heartbeat. */
  public static byte[] response(long token, List<AgentCommand> commands) {
    return Json.bytes(orders(Json.object().put("baton", token), commands));
  }

  /**
   * An answer that a worker drops, for it has no token ("Tokens" in the protocol): the lease is not
   * renewed, nothing is done, and the worker stays with the node that gave it.
   */
  public static byte[] emptyResponse() {
    return Json.bytes(Json.object().set("orders", Json.object().arrayNode()));
  }

  /** A direct command. */
  public static byte[] directCommand(long token, long agentEpoch, List<AgentCommand> commands) {
    return Json.bytes(
        orders(Json.object().put("baton", token).put("tenure", agentEpoch), commands));
  }

  private static ObjectNode orders(ObjectNode json, List<AgentCommand> commands) {
    ArrayNode list = json.putArray("orders");
    for (AgentCommand command : commands) {
      ObjectNode entry = list.addObject();
      entry.put(
          "verb",
          switch (command.verb()) {
            case START -> "run";
            case STOP -> "stop";
            case FORGET -> "reap";
          });
      entry.put("shard", command.ref() + "/" + command.task());
      entry.put("try", command.attempt());
      if (command.verb() == AgentCommand.Verb.STOP) {
        entry.put("linger_s", command.graceS());
      }
    }
    return json;
  }
}
