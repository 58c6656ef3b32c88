package io.embernotch.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.snapshot.file.SnapshotArchive;
import io.embernotch.snapshot.file.SnapshotDiff;
import io.embernotch.snapshot.file.SnapshotDirectory;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Inspects snapshots. Exit codes: 0 done, 1 damaged, unreadable or (diff) not the same, 2 wrong
 * usage.
 */
@Command(
    name = "snapshot",
    description = "Looks at snapshots: list DIR, show FILE, verify FILE, diff FILE FILE.",
    mixinStandardHelpOptions = true)
final class SnapshotCommand implements Callable<Integer> {
  /** What to do; the names are those of the command line. */
  private enum Action {
    list,
    show,
    verify,
    diff
  }

  @Spec private CommandSpec spec;

  @Parameters(index = "0", paramLabel = "WHAT", description = "list, show, verify or diff")
  private Action action;

  @Parameters(
      index = "1..*",
      arity = "1..2",
      paramLabel = "FILE",
      description = "a directory to list, else snapshots")
  private List<Path> files;

  @Option(names = "--json", description = "prints JSON, an object a line")
  private boolean json;

  @Override
  public Integer call() {
    if (files.size() != (action == Action.diff ? 2 : 1)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), action + " takes " + (action == Action.diff ? "two files" : "one"));
    }
    try {
      return switch (action) {
        case list -> list();
        case show -> show();
        case verify -> verify(files.get(0)) ? 0 : 1;
        case diff -> diff();
      };
    } catch (IOException e) {
      spec.commandLine().getErr().println("embernotch: " + e.getMessage());
      return 1;
    }
  }

  private int list() throws IOException {
    boolean allWhole = true;
    for (Path file : new SnapshotDirectory(files.get(0), 1).list()) {
      allWhole &= verify(file);
    }
    return allWhole ? 0 : 1;
  }

  private boolean verify(Path file) throws IOException {
    ObjectNode object = Json.object().put("file", file.getFileName().toString());
    try {
      describe(SnapshotDirectory.read(file), object);
      print(object);
      return true;
    } catch (SnapshotArchive.DamagedSnapshotException e) {
      print(object.put("damaged", e.getMessage()));
      return false;
    }
  }

  private int show() throws IOException {
    SnapshotArchive archive = SnapshotDirectory.read(files.get(0));
    print(describe(archive, Json.object().put("file", files.get(0).getFileName().toString())));
    archive.snapshot().getJobList().forEach(job -> print(SnapshotDiff.toJson(job)));
    archive.snapshot().getEndedList().forEach(job -> print(SnapshotDiff.toJson(job)));
    return 0;
  }

  private int diff() throws IOException {
    List<ObjectNode> lines =
        SnapshotDiff.of(
            SnapshotDirectory.read(files.get(0)).snapshot(),
            SnapshotDirectory.read(files.get(1)).snapshot());
    lines.forEach(this::print);
    return lines.isEmpty() ? 0 : 1;
  }

  private static ObjectNode describe(SnapshotArchive archive, ObjectNode object) {
    return object
        .put("era", archive.head().getEra())
        .put("epoch", archive.head().getEpoch())
        .put("at", Instant.ofEpochMilli(archive.head().getWallMs()).toString())
        .put("jobs", archive.head().getJobs())
        .put("ended", archive.head().getEnded());
  }

  private void print(ObjectNode object) {
    PrintWriter out = spec.commandLine().getOut();
    if (json) {
      out.println(new String(Json.bytes(object), StandardCharsets.UTF_8));
      return;
    }
    StringBuilder line = new StringBuilder();
    object
        .fields()
        .forEachRemaining(
            field ->
                line.append(line.length() == 0 ? "" : "  ")
                    .append(field.getKey())
                    .append(' ')
                    .append(field.getValue().asText()));
    out.println(line);
  }
}
