package io.embernotch.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and checks the platform's TOML file. Fields it does not know are ignored. */
public final class SettingsReader {
  private SettingsReader() {}

  public static Settings read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw SettingsException.unreadable(file, e);
    }
  }

  public static Settings parse(String toml) {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(toml);
    } catch (JsonProcessingException e) {
      throw new SettingsException("not TOML: " + e.getOriginalMessage());
    }
    Table top = new Table(root, "");
    Table cluster = top.table("cluster");
    Table external = top.table("external");
    Table workers = cluster.table("workers");
    Table state = cluster.table("state");
    Table cloud = cluster.table("cloud");
    Table quota = cluster.table("quota");
    Settings settings =
        new Settings(
            top.text("node"),
            top.text("location"),
            top.address("client_listen"),
            top.address("back"),
            members(top),
            external.address("cloud"),
            external.address("state"),
            cluster.texts("zones"),
            cluster.number("time_bound_ms", 0),
            teams(cluster),
            objectives(cluster),
            new Settings.WorkerTimings(
                workers.positive("report_s"),
                workers.positive("lease_s"),
                workers.positive("gang_wait_s"),
                workers.positive("gang_peer_s"),
                workers.positive("cancel_s")),
            new Settings.StoreLimits(
                state.positive("rps"),
                state.positive("write_rps"),
                state.positive("value_kb"),
                state.count("txn_ops")),
            next(state),
            new Settings.CloudLimits(cloud.positive("rps"), cloud.number("list_lag_s", 0)),
            new Settings.Quota(
                quota.positive("cpu_share"),
                quota.positive("memory_mb"),
                quota.count("max_connections")));
    check(settings);
    return settings;
  }

  private static void check(Settings settings) {
    if (settings.storeLimits().txnOps() < 2) {
      throw new SettingsException("cluster.state.txn_ops: must be at least 2");
    }
    if (settings.nextStoreLimits().txnOps() < 2) {
      throw new SettingsException("cluster.state.next.txn_ops: must be at least 2");
    }
    if (settings.workers().leaseS() <= 2 * settings.workers().heartbeatIntervalS()) {
      throw new SettingsException("cluster.workers.lease_s: must exceed two report periods");
    }
    if (settings.workers().cancelS() <= settings.workers().leaseS()) {
      throw new SettingsException("cluster.workers.cancel_s: must exceed cluster.workers.lease_s");
    }
    for (Settings.Member member : settings.members()) {
      if (member.node().equals(settings.node())) {
        throw new SettingsException("members: names this node itself (" + member.node() + ")");
      }
    }
  }

  /** The limits to come; what is not named stays as it is. */
  private static Settings.StoreLimits next(Table state) {
    Table next = state.has("next") ? state.table("next") : state;
    return new Settings.StoreLimits(
        (next.has("rps") ? next : state).positive("rps"),
        (next.has("write_rps") ? next : state).positive("write_rps"),
        (next.has("value_kb") ? next : state).positive("value_kb"),
        (next.has("txn_ops") ? next : state).count("txn_ops"));
  }

  private static List<Settings.Member> members(Table top) {
    List<Settings.Member> out = new ArrayList<>();
    for (Table table : top.tables("members")) {
      out.add(
          new Settings.Member(
              table.text("node"), table.text("location"), table.address("address")));
    }
    return List.copyOf(out);
  }

  private static Map<String, Settings.Team> teams(Table cluster) {
    Map<String, Settings.Team> out = new LinkedHashMap<>();
    for (Table table : cluster.tables("teams")) {
      Settings.Team team =
          new Settings.Team(
              table.text("name"),
              table.number("cpus", 0),
              table.number("cpus_max", 0),
              table.number("gpus", 0),
              table.number("gpus_max", 0));
      if (out.put(team.name(), team) != null) {
        throw new SettingsException("cluster.teams: " + team.name() + " is named twice");
      }
    }
    if (out.isEmpty()) {
      throw new SettingsException("cluster.teams: missing");
    }
    return out;
  }

  private static List<Settings.Objective> objectives(Table cluster) {
    List<Settings.Objective> out = new ArrayList<>();
    for (Table table : cluster.tables("objectives")) {
      out.add(
          new Settings.Objective(
              table.text("kind"),
              table.textOr("class", null),
              table.number("within_s", 0),
              table.number("share", 0)));
    }
    return List.copyOf(out);
  }

  /** A TOML table together with its path, so that every complaint names its field. */
  private record Table(JsonNode node, String path) {
    private String at(String name) {
      return path.isEmpty() ? name : path + "." + name;
    }

    private JsonNode need(String name) {
      JsonNode value = node.get(name);
      if (value == null) {
        throw new SettingsException(at(name) + ": missing");
      }
      return value;
    }

    boolean has(String name) {
      return node.get(name) != null;
    }

    Table table(String name) {
      JsonNode value = need(name);
      if (!value.isObject()) {
        throw new SettingsException(at(name) + ": must be a table");
      }
      return new Table(value, at(name));
    }

    List<Table> tables(String name) {
      JsonNode value = node.get(name);
      if (value == null) {
        return List.of();
      }
      if (!value.isArray()) {
        throw new SettingsException(at(name) + ": must be an array of tables");
      }
      List<Table> out = new ArrayList<>();
      for (int i = 0; i < value.size(); i++) {
        if (!value.get(i).isObject()) {
          throw new SettingsException(at(name) + "[" + i + "]: must be a table");
        }
        out.add(new Table(value.get(i), at(name) + "[" + i + "]"));
      }
      return out;
    }

    String text(String name) {
      JsonNode value = need(name);
      if (!value.isTextual() || value.asText().isBlank()) {
        throw new SettingsException(at(name) + ": must be a non-empty string");
      }
      return value.asText();
    }

    String textOr(String name, String fallback) {
      return node.get(name) == null ? fallback : text(name);
    }

    List<String> texts(String name) {
      JsonNode value = need(name);
      if (!value.isArray() || value.isEmpty()) {
        throw new SettingsException(at(name) + ": must be a non-empty array of strings");
      }
      List<String> out = new ArrayList<>();
      for (JsonNode item : value) {
        if (!item.isTextual()) {
          throw new SettingsException(at(name) + ": must be a non-empty array of strings");
        }
        out.add(item.asText());
      }
      return List.copyOf(out);
    }

    HostPort address(String name) {
      try {
        return HostPort.parse(text(name));
      } catch (IllegalArgumentException e) {
        throw new SettingsException(at(name) + ": " + e.getMessage());
      }
    }

    /** A number of at least 0, or {@code fallback} when the field is absent. */
    double number(String name, double fallback) {
      JsonNode value = node.get(name);
      if (value == null) {
        return fallback;
      }
      if (!value.isNumber() || !(value.asDouble() >= 0) || Double.isInfinite(value.asDouble())) {
        throw new SettingsException(at(name) + ": must be a number of at least 0");
      }
      return value.asDouble();
    }

    double positive(String name) {
      need(name);
      double number = number(name, 0);
      if (number <= 0) {
        throw new SettingsException(at(name) + ": must be above 0");
      }
      return number;
    }

    int count(String name) {
      double number = positive(name);
      if (number != Math.rint(number) || number > Integer.MAX_VALUE) {
        throw new SettingsException(at(name) + ": must be a whole number");
      }
      return (int) number;
    }
  }
}
