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
    ObjectNode o = Json.parseObject(body);
    JsonNode tasks = Json.opt(o, "shards");
    List<TaskStatus> list = new ArrayList<>();
    if (tasks != null) {
      if (!tasks.isArray()) {
        throw new MalformedInputException("shards: must be an array");
      }
      for (JsonNode t : tasks) {
        list.add(task(t));
      }
    }
    JsonNode recall = Json.opt(o, "recall_s");
    return new Heartbeat(
        Json.text(o, "hearth"),
        Json.text(o, "address"),
        Json.text(o, "flavor"),
        Json.text(o, "room"),
        Json.flagOr(o, "loaner", false),
        Json.whole(o, "tenure"),
        Json.whole(o, "tick"),
        Json.whole(o, "baton"),
        recall == null ? null : Math.max(0, recall.asDouble()),
        list);
  }

  private static TaskStatus task(JsonNode t) {
    String name = Json.text(t, "shard");
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
    TaskState state = state(Json.text(t, "phase"));
    JsonNode cause = Json.opt(t, "cause");
    return new TaskStatus(
        name.substring(0, slash),
        index,
        Json.whole(t, "try"),
        state,
        state == TaskState.EXITED ? cause(cause == null ? "" : cause.asText()) : null,
        Json.flagOr(t, "stored", false));
  }

  private static TaskState state(String s) {
    return switch (s) {
      case "fetching" -> TaskState.FETCHING;
      case "gathering" -> TaskState.WAITING;
      case "running" -> TaskState.RUNNING;
      case "saving" -> TaskState.SAVING;
      case "exited" -> TaskState.EXITED;
      default -> throw new MalformedInputException("phase: unknown: " + s);
    };
  }

  private static ExitCause cause(String s) {
    return switch (s) {
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
  public static byte[] response(long token, List<AgentCommand> orders) {
    return Json.bytes(orders(Json.object().put("baton", token), orders));
  }

  /**
   * An answer that a worker drops, for it has no token ("Tokens" in the protocol): the lease is not
   * renewed, nothing is done, and the worker stays with the node that gave it.
   */
  public static byte[] stay() {
    return Json.bytes(Json.object().set("orders", Json.object().arrayNode()));
  }

  /** A direct command. */
  public static byte[] direct(long token, long session, List<AgentCommand> orders) {
    return Json.bytes(orders(Json.object().put("baton", token).put("tenure", session), orders));
  }

  private static ObjectNode orders(ObjectNode o, List<AgentCommand> orders) {
    ArrayNode list = o.putArray("orders");
    for (AgentCommand order : orders) {
      ObjectNode n = list.addObject();
      n.put(
          "verb",
          switch (order.verb()) {
            case START -> "run";
            case STOP -> "stop";
            case FORGET -> "reap";
          });
      n.put("shard", order.ref() + "/" + order.task());
      n.put("try", order.attempt());
      if (order.verb() == AgentCommand.Verb.STOP) {
        n.put("linger_s", order.graceS());
      }
    }
    return o;
  }
}
