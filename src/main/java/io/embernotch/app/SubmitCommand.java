package io.embernotch.app;

import io.embernotch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Submits a job by way of a running controller. */
@Command(
    name = "submit",
    description = "Submits a job described in a JSON file.",
    mixinStandardHelpOptions = true)
final class SubmitCommand extends ClientCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the job, as POST /api/jobs takes it")
  private Path file;

  @Override
  public Integer call() {
    try {
      return call("POST", "/api/jobs", Files.readAllBytes(file));
    } catch (IOException e) {
      throw SettingsException.unreadable(file, e);
    }
  }
}
