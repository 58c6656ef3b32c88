package io.embernotch.app;

import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(name = "check", description = "Checks settings without starting anything.", mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--operator", paramLabel = "FILE", description = "the operators' own settings (protobuf text format)")
  private Path operator;

  @Option(names = "--config", paramLabel = "FILE", required = true, description = "the platform's settings (TOML)")
  private Path config;

  @Override
  public Integer call() {
    Settings s = SettingsReader.read(config);
    if (operator != null) {
      OperatorSettings.read(operator);
    }
    spec.commandLine().getOut().printf(
        "ok: %s in %s, %d other controllers, %d teams%n",
        s.node(), s.location(), s.members().size(), s.teams().size());
    return 0;
  }
}
