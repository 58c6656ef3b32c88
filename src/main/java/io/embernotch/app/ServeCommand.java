package io.embernotch.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs a controller. */
@Command(
    name = "serve",
    description = "Runs a controller until it is killed.",
    mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
  /** Not an exit code: the controller goes on after the command line has been carried out. */
  static final int KEEP_RUNNING = -1;

  @Mixin private SettingsFiles files;

  @Override
  public Integer call() {
    Server.start(files.platform(), files.operator());
    return KEEP_RUNNING;
  }
}
