package io.embernotch.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Cancels a job by way of a running controller. */
@Command(name = "cancel", description = "Cancels a job.", mixinStandardHelpOptions = true)
final class CancelCommand extends ClientCommand implements Callable<Integer> {
  @Parameters(paramLabel = "JOB", description = "the job's id")
  private String ref;

  @Override
  public Integer call() {
    return call("POST", "/api/jobs/" + ref + "/abort", null);
  }
}
