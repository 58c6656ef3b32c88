package io.embernotch.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the status of a job by way of a running controller. */
@Command(
    name = "status",
    description = "Shows how a job is doing.",
    mixinStandardHelpOptions = true)
final class StatusCommand extends ClientCommand implements Callable<Integer> {
  @Parameters(paramLabel = "JOB", description = "the job's id")
  private String ref;

  @Override
  public Integer call() {
    return call("GET", "/api/jobs/" + ref, null);
  }
}
