package io.embernotch.app;

import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "serve", description = "Runs a controller until it is killed.", mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
  /** Not an exit code: the controller goes on after the command line has been carried out. */
  static final int KEEP_RUNNING = -1;

  @Option(names = "--operator", paramLabel = "FILE", description = "the operators' own settings (protobuf text format)")
  private Path operator;

  @Option(names = "--config", paramLabel = "FILE", required = true, description = "the platform's settings (TOML)")
  private Path config;

  @Override
  public Integer call() {
    Settings settings = SettingsReader.read(config);
    OperatorSettings own = operator == null ? OperatorSettings.DEFAULTS : OperatorSettings.read(operator);
    Server.start(settings, own);
    return KEEP_RUNNING;
  }
}
