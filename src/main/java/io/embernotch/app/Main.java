package io.embernotch.app;

import io.embernotch.settings.SettingsException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** The command line. */
@Command(
    name = "embernotch",
    description = "A cluster scheduler: accepts jobs, rents machines and places tasks.",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    subcommands = {
      ServeCommand.class,
      CheckCommand.class,
      SubmitCommand.class,
      StatusCommand.class,
      CancelCommand.class,
      OverviewCommand.class,
      CalendarCommand.class,
      SnapshotCommand.class,
      RehearseCommand.class
    })
public final class Main implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private Main() {}

  /** Runs a command line, and exits with its code unless a controller goes on running. */
  public static void main(String[] args) {
    int code = run(args);
    if (code != ServeCommand.KEEP_RUNNING) {
      System.exit(code);
    }
  }

  /** Runs a command line and returns its exit code. */
  public static int run(String... args) {
    return commandLine().execute(args);
  }

  static CommandLine commandLine() {
    CommandLine line = new CommandLine(new Main());
    line.setExecutionExceptionHandler(
        (failure, command, parsed) -> {
          if (failure instanceof SettingsException) {
            command.getErr().println("embernotch: " + failure.getMessage());
            return CommandLine.ExitCode.USAGE;
          }
          throw failure;
        });
    return line;
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  /** The version that the package was built with. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"embernotch " + (version == null ? "(not packaged)" : version)};
    }
  }
}
