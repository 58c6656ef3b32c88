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
  /** Fewest operations of a transaction that the controllers can work with. */
  private static final int MIN_TRANSACTION_OPERATIONS = 2;

  private SettingsReader() {}

  /**
   * Reads a file.
   *
   * @throws SettingsException if it cannot be read, is no TOML, or a field is missing or wrong
   */
  public static Settings read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw SettingsException.unreadable(file, e);
    }
  }

  /**
   * Reads the text of a file.
   *
   * @throws SettingsException if it is no TOML, or a field is missing or wrong
   */
  public static Settings parse(String toml) {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(toml);
    } catch (JsonProcessingException e) {
      throw new SettingsException("not TOML: " + e.getOriginalMessage());
    }
    TomlTable top = new TomlTable(root, "");
    TomlTable cluster = top.table("cluster");
    TomlTable external = top.table("external");
    TomlTable workers = cluster.table("workers");
    TomlTable store = cluster.table("state");
    TomlTable cloud = cluster.table("cloud");
    TomlTable quota = cluster.table("quota");
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
            workerTimings(workers),
            storeLimits(store, store),
            storeLimits(store.has("next") ? store.table("next") : store, store),
            new Settings.CloudLimits(cloud.positive("rps"), cloud.number("list_lag_s", 0)),
            quota(quota));
    check(settings);
    return settings;
  }

  private static void check(Settings settings) {
    if (settings.storeLimits().txnOps() < MIN_TRANSACTION_OPERATIONS) {
      throw new SettingsException("cluster.state.txn_ops: must be at least 2");
    }
    if (settings.nextStoreLimits().txnOps() < MIN_TRANSACTION_OPERATIONS) {
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

  private static Settings.WorkerTimings workerTimings(TomlTable workers) {
    return new Settings.WorkerTimings(
        workers.positive("report_s"),
        workers.positive("lease_s"),
        workers.positive("gang_wait_s"),
        workers.positive("gang_peer_s"),
        workers.positive("cancel_s"));
  }

  /** Limits of the store; what {@code table} does not name is taken from {@code fallback}. */
  private static Settings.StoreLimits storeLimits(TomlTable table, TomlTable fallback) {
    return new Settings.StoreLimits(
        (table.has("rps") ? table : fallback).positive("rps"),
        (table.has("write_rps") ? table : fallback).positive("write_rps"),
        (table.has("value_kb") ? table : fallback).positive("value_kb"),
        (table.has("txn_ops") ? table : fallback).count("txn_ops"));
  }

  private static Settings.Quota quota(TomlTable quota) {
    return new Settings.Quota(
        quota.positive("cpu_share"), quota.positive("memory_mb"), quota.count("max_connections"));
  }

  private static List<Settings.Member> members(TomlTable top) {
    List<Settings.Member> members = new ArrayList<>();
    for (TomlTable table : top.tables("members")) {
      members.add(
          new Settings.Member(
              table.text("node"), table.text("location"), table.address("address")));
    }
    return List.copyOf(members);
  }

  private static Map<String, Settings.Team> teams(TomlTable cluster) {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (TomlTable table : cluster.tables("teams")) {
      Settings.Team team =
          new Settings.Team(
              table.text("name"),
              table.number("cpus", 0),
              table.number("cpus_max", 0),
              table.number("gpus", 0),
              table.number("gpus_max", 0));
      if (teams.put(team.name(), team) != null) {
        throw new SettingsException("cluster.teams: " + team.name() + " is named twice");
      }
    }
    if (teams.isEmpty()) {
      throw new SettingsException("cluster.teams: missing");
    }
    return teams;
  }

  private static List<Settings.Objective> objectives(TomlTable cluster) {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (TomlTable table : cluster.tables("objectives")) {
      objectives.add(
          new Settings.Objective(
              table.text("kind"),
              table.textOr("class", null),
              table.number("within_s", 0),
              table.number("share", 0)));
    }
    return List.copyOf(objectives);
  }
}
