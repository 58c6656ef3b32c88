package io.embernotch.app;

import io.embernotch.settings.Settings;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Checks the settings files. */
@Command(
    name = "check",
    description = "Checks settings without starting anything.",
    mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Mixin private SettingsFiles files;

  @Override
  public Integer call() {
    Settings settings = files.platform();
    files.operator().checkAgainst(settings);
    spec.commandLine()
        .getOut()
        .printf(
            "ok: %s in %s, %d other controllers, %d teams%n",
            settings.node(),
            settings.location(),
            settings.members().size(),
            settings.teams().size());
    return 0;
  }
}
