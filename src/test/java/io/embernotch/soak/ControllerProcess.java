package io.embernotch.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One controller as a process of its own, which is started anew after each end. */
final class ControllerProcess implements AutoCloseable {
  private static final Path DEPLOY_FILE = Path.of("deploy", "service.toml");
  private static final String RUN_COMMAND = "run = \"";
  private static final String LOG_SUFFIX = ".log";

  final int index;
  private final Path settingsFile;
  private final Path directory;
  private final FactLedger facts;
  private Process process;
  private int starts;

  ControllerProcess(int index, String toml, Path directory, FactLedger facts) throws IOException {
    this.index = index;
    this.directory = directory;
    this.facts = facts;
    this.settingsFile = directory.resolve(name() + ".toml");
    Files.writeString(settingsFile, toml);
  }

  String name() {
    return "c" + index;
  }

  boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Starts the process, unless it runs. */
  void start() {
    if (isRunning()) {
      return;
    }
    List<String> command = deployCommand();
    command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add(settingsFile.toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("LOG_LEVEL", "debug");
    builder.redirectErrorStream(true);
    builder.redirectOutput(directory.resolve(name() + "-" + ++starts + LOG_SUFFIX).toFile());
    try {
      process = builder.start();
      facts.started(name(), starts);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The command of the deploy file, with its memory limits; the settings file is added to it. */
  private static List<String> deployCommand() {
    try {
      String run =
          Files.readAllLines(DEPLOY_FILE).stream()
              .filter(line -> line.startsWith(RUN_COMMAND))
              .findFirst()
              .orElseThrow();
      String command = run.substring(RUN_COMMAND.length(), run.lastIndexOf('"'));
      return new ArrayList<>(List.of(command.split(" ", -1)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Ends the process without notice, paused or not. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
      facts.killed(name());
    }
  }

  /** Stops the process with its clocks running on, until {@link #resume}. */
  void pause() {
    signal("STOP");
  }

  void resume() {
    signal("CONT");
  }

  private void signal(String name) {
    if (!isRunning()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Lines that the process and those before it have logged at error. */
  List<String> errorLines() {
    List<String> errors = new ArrayList<>();
    for (int start = 1; start <= starts; start++) {
      try {
        Files.readAllLines(directory.resolve(name() + "-" + start + LOG_SUFFIX)).stream()
            .filter(line -> line.contains(" ERROR "))
            .map(line -> name() + " logs: " + line)
            .forEach(errors::add);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    return errors;
  }

  /** Ends the process and waits until it is gone. */
  @Override
  public void close() {
    kill();
    if (process != null) {
      process.onExit().join();
    }
  }
}
