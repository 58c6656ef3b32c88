package io.embernotch.settings;

import io.embernotch.model.Priority;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The operators' own settings, checked; defaults hold where their file sets nothing.
 *
 * @param stragglerEnabled whether slow array tasks are restarted
 * @param flagRatio a task is flagged once it runs longer than this many times its job's mean
 * @param beta a machine below this share of its partition's average performance is slow
 * @param roundS seconds between two straggler rounds
 * @param batchesPerS batches of restarts a second, for each proposing controller
 * @param keepIdleBoots boot times for which an idle machine is kept
 * @param serviceSpare headroom for services, in deviations of the demand within a boot time
 * @param gangSpare the same for gangs
 * @param arraySpare the same for arrays
 * @param leaseHeartbeats leader lease in heartbeat intervals; 0: {@code leaseShare} counts
 * @param leaseShare leader lease as a share of the workers' lease
 * @param snapshots snapshots in a directory
 * @param reserve reserved capacity
 * @param calendar the embargo calendar
 */
public record OperatorSettings(
    boolean stragglerEnabled,
    double flagRatio,
    double beta,
    double roundS,
    double batchesPerS,
    double keepIdleBoots,
    double serviceSpare,
    double gangSpare,
    double arraySpare,
    double leaseHeartbeats,
    double leaseShare,
    Snapshots snapshots,
    Reserve reserve,
    Calendar calendar) {

  /**
   * Snapshots in a directory.
   *
   * @param directory where; null: none are taken
   * @param everyS seconds between two
   * @param keep how many are kept
   * @param restoreWhenEmpty whether an empty store is taken for one that has lost data
   */
  public record Snapshots(Path directory, double everyS, int keep, boolean restoreWhenEmpty) {}

  /**
   * Reserved capacity.
   *
   * @param generation of the reservations: a controller with a lower one goes by those that the
   *     others share
   * @param live whether, without any, one is made for what runs at the priority of live services
   * @param terms the reservations of the file
   * @param spare headroom of that default reservation, in deviations of live services' demand
   */
  public record Reserve(long generation, boolean live, List<Reservation> terms, double spare) {
    /** The reservation that is made without any. */
    public Reservation defaultReservation() {
      Selector services = new Selector(Priority.PRODUCTION, null, null, null);
      return new Reservation("live", List.of(services), 0, 0, 0, 0, 0, spare, List.of(), Map.of());
    }
  }

  /**
   * The embargo calendar.
   *
   * @param generation as in {@link Reserve}
   * @param releases the releases of the file, in its order
   */
  public record Calendar(long generation, List<Release> releases) {}

  /** What holds without an operator file; the same values as operator.proto gives. */
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(
          true,
          1.5,
          0.5,
          5.0,
          2.0,
          0.2,
          2.0,
          1.0,
          0.5,
          0,
          0.1,
          new Snapshots(null, 60, 10, true),
          new Reserve(0, true, List.of(), 2.0),
          new Calendar(0, List.of()));

  /**
   * Reads the operators' file.
   *
   * @throws SettingsException if it cannot be read, or a field is wrong
   */
  public static OperatorSettings read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw SettingsException.unreadable(file, e);
    }
  }

  /**
   * Reads settings in protobuf text format.
   *
   * @throws SettingsException if the text is malformed, or a field is wrong
   */
  public static OperatorSettings parse(String text) {
    return OperatorFileReader.parse(text);
  }

  /**
   * Checks what these settings say of teams and zones against the platform's.
   *
   * @return these settings
   * @throws SettingsException if a team or a zone is unknown, or a reservation exceeds a limit
   */
  public OperatorSettings checkAgainst(Settings platform) {
    for (int i = 0; i < reserve.terms().size(); i++) {
      Reservation reservation = reserve.terms().get(i);
      String place = "reserve[" + i + "]";
      checkTeams(place + ".serves", reservation.serves(), platform);
      for (String zone : reservation.zones().keySet()) {
        Checks.require(platform.zones().contains(zone), place + ".zone: unknown zone " + zone);
      }
      checkTeamLimit(place, reservation, platform);
    }
    for (int i = 0; i < calendar.releases().size(); i++) {
      checkTeams(
          "calendar.release[" + i + "].orders", calendar.releases().get(i).orders(), platform);
    }
    return this;
  }

  private static void checkTeams(String field, List<Selector> selectors, Settings platform) {
    for (int i = 0; i < selectors.size(); i++) {
      String team = selectors.get(i).team();
      Checks.require(
          team == null || platform.teams().containsKey(team),
          field + "[" + i + "].team: unknown team " + team);
    }
  }

  /** What is reserved for one team alone must be within that team's limit. */
  private static void checkTeamLimit(String place, Reservation reservation, Settings platform) {
    if (reservation.serves().size() != 1) {
      return;
    }
    String name = reservation.serves().get(0).team();
    Settings.Team team = name == null ? null : platform.teams().get(name);
    if (team != null && team.gpusMax() > 0 && reservation.gpus() > team.gpusMax()) {
      throw new SettingsException(
          place + ".gpus: team " + team.name() + " may use " + team.gpusMax() + " at the most");
    }
  }
}
