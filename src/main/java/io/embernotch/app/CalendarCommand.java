package io.embernotch.app;

import io.embernotch.calendar.Occurrences;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Release;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Prints the occurrences of the operators' releases. Exits with 2 on a mistake in the file, like
 * every command that reads it.
 */
@Command(
    name = "calendar",
    description = "Prints when releases come out, and starts nothing.",
    mixinStandardHelpOptions = true)
final class CalendarCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(
      names = "--operator",
      required = true,
      paramLabel = "FILE",
      description = "The operators' file.")
  private Path operator;

  @Option(
      names = "--from",
      required = true,
      paramLabel = "DATE",
      description = "The first day, by UTC.")
  private LocalDate from;

  @Option(
      names = "--days",
      defaultValue = "7",
      paramLabel = "N",
      description = "So many days; 7 by default.")
  private int days;

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    List<Release> releases = OperatorSettings.read(operator).calendar().releases();
    printOccurrences(releases, out);
    for (Release release : releases) {
      Occurrences.skippedDates(release, from, from.plusDays(Math.max(0, days)))
          .forEach(
              date -> out.printf("%s: %s is left out by %s%n", release.id(), date, release.zone()));
      release.also().keySet().stream()
          .filter(date -> date.isBefore(from))
          .forEach(date -> out.printf("%s: %s is past%n", release.id(), date));
      for (Release earlier : releases.subList(0, releases.indexOf(release))) {
        if (overlap(release, earlier)) {
          out.printf(
              "%s and %s may order the same work: %s counts%n",
              earlier.id(), release.id(), earlier.id());
        }
      }
    }
    return 0;
  }

  private void printOccurrences(List<Release> releases, PrintWriter out) {
    Instant begin = from.atStartOfDay(ZoneOffset.UTC).toInstant();
    Instant end = begin.plus(days, ChronoUnit.DAYS);
    List<Occurrences.Occurrence> occurrences = new ArrayList<>();
    releases.forEach(release -> occurrences.addAll(Occurrences.between(release, begin, end)));
    occurrences.sort(
        Comparator.comparing(Occurrences.Occurrence::at)
            .thenComparing(Occurrences.Occurrence::name));
    for (Occurrences.Occurrence occurrence : occurrences) {
      out.printf(
          "%s  %s%s%s%n",
          occurrence.at(),
          occurrence.name(),
          occurrence.lifted() ? "  lifted" : "",
          occurrence.note() == null ? "" : "  (" + occurrence.note() + ")");
    }
  }

  private static boolean overlap(Release release, Release other) {
    return release.orders().stream()
        .anyMatch(selector -> other.orders().stream().anyMatch(selector::overlaps));
  }
}
