package io.embernotch.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Prints the overview of a running controller. */
@Command(
    name = "overview",
    description = "Shows leadership, fleet and queue.",
    mixinStandardHelpOptions = true)
final class OverviewCommand extends ClientCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return call("GET", "/overview", null);
  }
}
