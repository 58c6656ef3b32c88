package io.embernotch.settings;

import com.google.protobuf.TextFormat;
import io.embernotch.model.Priority;
import io.embernotch.settings.proto.OperatorFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** The operators' own settings, checked; defaults hold where the file is silent. */
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
   * @param restoreWhenEmpty an empty store is taken for one that has lost data
   */
  public record Snapshots(Path directory, double everyS, int keep, boolean restoreWhenEmpty) {}

  /**
   * Reserved capacity.
   *
   * @param generation of the reservations: a controller with a lower one goes by what the others
   *     know
   * @param live without any, one is made for what runs at the priority of live services
   * @param spare deviations of what comes of live services that are kept free for them
   */
  public record Reserve(long generation, boolean live, List<Reservation> terms, double spare) {
    /** The reservation that is made without any. */
    public Reservation defaultReservation() {
      Selector services = new Selector(Priority.PRODUCTION, null, null, null);
      return new Reservation("live", List.of(services), 0, 0, 0, 0, 0, spare, List.of(), Map.of());
    }
  }

  /** The embargo calendar; {@code generation} as in {@link Reserve}. */
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

  public static OperatorSettings read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw SettingsException.unreadable(file, e);
    }
  }

  public static OperatorSettings parse(String text) {
    OperatorFile.Operator.Builder file = OperatorFile.Operator.newBuilder();
    try {
      TextFormat.merge(text, file);
    } catch (TextFormat.ParseException e) {
      String why = e.getMessage().replaceAll("\\s+", " ");
      throw new SettingsException("operator settings, line " + e.getLine() + ": " + why);
    }
    OperatorFile.Straggler straggler = file.getStraggler();
    OperatorFile.Fleet fleet = file.getFleet();
    return new OperatorSettings(
        straggler.getEnabled(),
        within("straggler.flag_ratio", straggler.getFlagRatio(), 1.0, 100),
        within("straggler.beta", straggler.getBeta(), 0, 1),
        within("straggler.round_s", straggler.getRoundS(), 0.1, 3600),
        within("straggler.batches_per_s", straggler.getBatchesPerS(), 0.01, 100),
        within("fleet.keep_idle_boots", fleet.getKeepIdleBoots(), 0, 1000),
        within("fleet.service_spare", fleet.getServiceSpare(), 0, 100),
        within("fleet.gang_spare", fleet.getGangSpare(), 0, 100),
        within("fleet.array_spare", fleet.getArraySpare(), 0, 100),
        file.getLeadership().hasLeaseReports()
            ? within("leadership.lease_reports", file.getLeadership().getLeaseReports(), 0.2, 20)
            : 0,
        within("leadership.lease_share", file.getLeadership().getLeaseShare(), 0.02, 1),
        snapshots(file.getSnapshots()),
        new Reserve(
            file.getGeneration(),
            file.getReserveLive(),
            ReservationReader.read(file.getReserveList(), file.getGeneration()),
            fleet.getServiceSpare()),
        new Calendar(
            file.getGeneration(), CalendarReader.read(file.getCalendar(), file.getGeneration())));
  }

  /**
   * Checks what this file says of teams and zones against the platform's; mistakes are told with
   * their place.
   */
  public OperatorSettings checkAgainst(Settings platform) {
    for (int i = 0; i < reserve.terms().size(); i++) {
      Reservation reservation = reserve.terms().get(i);
      teams("reserve[" + i + "].serves", reservation.serves(), platform);
      for (String zone : reservation.zones().keySet()) {
        if (!platform.zones().contains(zone)) {
          throw new SettingsException("reserve[" + i + "].zone: unknown zone " + zone);
        }
      }
      for (Selector straggler : reservation.serves()) {
        Settings.Team team =
            straggler.team() == null ? null : platform.teams().get(straggler.team());
        if (reservation.serves().size() == 1
            && team != null
            && team.gpusMax() > 0
            && reservation.gpus() > team.gpusMax()) {
          throw new SettingsException(
              "reserve["
                  + i
                  + "].gpus: team "
                  + team.name()
                  + " may use "
                  + team.gpusMax()
                  + " at the most");
        }
      }
    }
    for (int i = 0; i < calendar.releases().size(); i++) {
      teams("calendar.release[" + i + "].orders", calendar.releases().get(i).orders(), platform);
    }
    return this;
  }

  private static void teams(String place, List<Selector> selectors, Settings platform) {
    for (int k = 0; k < selectors.size(); k++) {
      String team = selectors.get(k).team();
      if (team != null && !platform.teams().containsKey(team)) {
        throw new SettingsException(place + "[" + k + "].team: unknown team " + team);
      }
    }
  }

  private static Snapshots snapshots(OperatorFile.Snapshots straggler) {
    Path directory = straggler.getDirectory().isEmpty() ? null : Path.of(straggler.getDirectory());
    if (directory != null && !Files.isWritable(directory)) {
      throw new SettingsException(
          "snapshots.directory: " + directory + " is not a directory that can be written to");
    }
    return new Snapshots(
        directory,
        within("snapshots.every_s", straggler.getEveryS(), 1, 86400),
        (int) within("snapshots.keep", straggler.getKeep(), 1, 10_000),
        straggler.getRestoreWhenEmpty());
  }

  static double within(String name, double number, double low, double high) {
    if (!(number >= low && number <= high)) {
      throw new SettingsException(
          name + ": must be between " + low + " and " + high + ", is " + number);
    }
    return number;
  }
}
