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

/** Exits with 2 on a mistake in the file, like everything that reads it. */
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
    Instant begin = from.atStartOfDay(ZoneOffset.UTC).toInstant();
    Instant end = begin.plus(days, ChronoUnit.DAYS);
    List<Release> releases = OperatorSettings.read(operator).calendar().releases();
    List<Occurrences.Occurrence> all = new ArrayList<>();
    releases.forEach(release -> all.addAll(Occurrences.between(release, begin, end)));
    all.sort(
        Comparator.comparing(Occurrences.Occurrence::at)
            .thenComparing(Occurrences.Occurrence::name));
    for (Occurrences.Occurrence occurrence : all) {
      out.printf(
          "%s  %s%s%s%n",
          occurrence.at(),
          occurrence.name(),
          occurrence.lifted() ? "  lifted" : "",
          occurrence.note() == null ? "" : "  (" + occurrence.note() + ")");
    }
    for (Release release : releases) {
      release.also().keySet().stream()
          .filter(d -> d.isBefore(from))
          .forEach(d -> out.printf("%s: %s is past%n", release.id(), d));
      for (Release other : releases.subList(0, releases.indexOf(release))) {
        if (release.orders().stream()
            .anyMatch(s -> other.orders().stream().anyMatch(s::overlaps))) {
          out.printf(
              "%s and %s may order the same work: %s counts%n",
              other.id(), release.id(), other.id());
        }
      }
    }
    return 0;
  }
}
