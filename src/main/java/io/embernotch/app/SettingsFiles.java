package io.embernotch.app;

import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The two settings files, for the commands that read them. */
final class SettingsFiles {
  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "the operators' own settings (protobuf text format)")
  private Path operator;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      required = true,
      description = "the platform's settings (TOML)")
  private Path config;

  /** The platform's settings. */
  Settings platform() {
    return SettingsReader.read(config);
  }

  /** The operators' settings; the defaults if no file is given. */
  OperatorSettings operator() {
    return operator == null ? OperatorSettings.DEFAULTS : OperatorSettings.read(operator);
  }
}
