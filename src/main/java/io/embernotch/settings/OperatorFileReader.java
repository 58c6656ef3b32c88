package io.embernotch.settings;

import static io.embernotch.settings.Checks.within;

import com.google.protobuf.TextFormat;
import io.embernotch.settings.proto.OperatorFile;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and checks the operators' file. */
final class OperatorFileReader {
  private OperatorFileReader() {}

  /**
   * Reads settings from the text of a file.
   *
   * @throws SettingsException if it is malformed, or a field is wrong
   */
  static OperatorSettings parse(String text) {
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
        new OperatorSettings.Reserve(
            file.getGeneration(),
            file.getReserveLive(),
            ReservationReader.read(file.getReserveList(), file.getGeneration()),
            fleet.getServiceSpare()),
        new OperatorSettings.Calendar(
            file.getGeneration(), CalendarReader.read(file.getCalendar(), file.getGeneration())));
  }

  private static OperatorSettings.Snapshots snapshots(OperatorFile.Snapshots snapshots) {
    Path directory = snapshots.getDirectory().isEmpty() ? null : Path.of(snapshots.getDirectory());
    if (directory != null && !Files.isWritable(directory)) {
      throw new SettingsException(
          "snapshots.directory: " + directory + " is not a directory that can be written to");
    }
    return new OperatorSettings.Snapshots(
        directory,
        within("snapshots.every_s", snapshots.getEveryS(), 1, 86400),
        (int) within("snapshots.keep", snapshots.getKeep(), 1, 10_000),
        snapshots.getRestoreWhenEmpty());
  }
}
