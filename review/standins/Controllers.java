import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The controllers, as processes with the command of the deploy file. */
final class Controllers {
  static final int COUNT = 3;
  private final Path directory;
  private final List<String> command;
  final int[] client = new int[COUNT];
  final int[] back = new int[COUNT];
  final Process[] processes = new Process[COUNT];
  /** Whether this program has ended the process itself. */
  private final boolean[] killed = new boolean[COUNT];
  private final int[] starts = new int[COUNT];
  private final Path[] settings = new Path[COUNT];
  private final List<String> unexpectedEnds = new ArrayList<>();

  /** The platform starts a process again so long after its end; negative: it does not. */
  volatile double restartAfterS = -1;

  /** Process numbers of all processes that were started, for the shutdown. */
  private volatile boolean closing;

  Controllers(Path directory, Store store, int cloudPort, List<String> zones, String cluster) {
    this.directory = directory;
    this.command = deployCommand();
    int[] storePorts = new int[COUNT];
    for (int i = 0; i < COUNT; i++) {
      client[i] = Web.freePort();
      back[i] = Web.freePort();
      storePorts[i] = store.listen(name(i));
    }
    for (int i = 0; i < COUNT; i++) {
      StringBuilder toml = new StringBuilder();
      toml.append("node = \"").append(name(i)).append("\"\n");
      toml.append("location = \"").append(zones.get(i % zones.size())).append("\"\n");
      toml.append("client_listen = \"127.0.0.1:").append(client[i]).append("\"\n");
      toml.append("back = \"127.0.0.1:").append(back[i]).append("\"\n");
      for (int other = 0; other < COUNT; other++) {
        if (other != i) {
          toml.append("[[members]]\nnode = \"").append(name(other)).append("\"\nlocation = \"");
          toml.append(zones.get(other % zones.size())).append("\"\naddress = \"127.0.0.1:");
          toml.append(back[other]).append("\"\n");
        }
      }
      toml.append("[external]\ncloud = \"127.0.0.1:").append(cloudPort);
      toml.append("\"\nstate = \"127.0.0.1:").append(storePorts[i]).append("\"\n").append(cluster);
      settings[i] = directory.resolve(name(i) + ".toml");
      try {
        Files.writeString(settings[i], toml);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  static String name(int index) {
    return "hearth-" + index;
  }

  String address(int index) {
    return "127.0.0.1:" + client[index];
  }

  private static List<String> deployCommand() {
    try {
      for (String line : Files.readAllLines(Path.of("deploy", "service.toml"))) {
        if (line.startsWith("run = ")) {
          return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    throw new IllegalStateException("deploy/service.toml has no run command");
  }

  synchronized void start(int index) {
    List<String> words = new ArrayList<>(command);
    words.add(settings[index].toString());
    ProcessBuilder builder = new ProcessBuilder(words);
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    File log = directory.resolve(name(index) + "-" + ++starts[index] + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(log);
    try {
      Process process = builder.start();
      processes[index] = process;
      killed[index] = false;
      Record.say("%s started, process %d", name(index), process.pid());
      process.onExit().thenAccept(ended -> ended(index, ended, log));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private synchronized void ended(int index, Process process, File log) {
    if (closing) {
      return;
    }
    if (restartAfterS >= 0) {
      Web.POOL.execute(
          () -> {
            Web.sleep(restartAfterS);
            synchronized (this) {
              if (!closing && !alive(index)) {
                start(index);
              }
            }
          });
    }
    if (processes[index] == process && !killed[index]) {
      String last = "";
      try {
        List<String> lines = Files.readAllLines(log.toPath());
        last = lines.isEmpty() ? "" : lines.get(lines.size() - 1);
      } catch (IOException e) {
        last = e.toString();
      }
      unexpectedEnds.add(name(index));
      Record.say("%s ended by itself, status %d: %s", name(index), process.exitValue(), last);
    }
  }

  synchronized List<String> unexpectedEnds() {
    return List.copyOf(unexpectedEnds);
  }

  synchronized boolean alive(int index) {
    return processes[index] != null && processes[index].isAlive();
  }

  synchronized void kill(int index) {
    if (processes[index] != null && processes[index].isAlive()) {
      killed[index] = true;
      Record.say("%s is killed", name(index));
      processes[index].destroyForcibly();
      processes[index].onExit().join();
    }
  }

  /** Ends all processes for good. */
  synchronized void close() {
    closing = true;
    for (Process process : processes) {
      if (process != null && process.isAlive()) {
        process.destroyForcibly();
        process.onExit().join();
      }
    }
  }

  /** All processes crash. */
  synchronized void killAll() {
    for (int i = 0; i < COUNT; i++) {
      if (processes[i] != null && processes[i].isAlive()) {
        killed[i] = true;
        Record.say("%s is killed", name(i));
        processes[i].destroyForcibly();
      }
    }
  }

  void signal(int index, String signal) {
    Record.say("%s gets SIG%s", name(index), signal);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(processes[index].pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until all nodes are ready; false if they are not in time. */
  boolean awaitReady(double seconds) {
    double until = Record.now() + seconds;
    while (Record.now() < until) {
      int ready = 0;
      for (int i = 0; i < COUNT; i++) {
        Web.Reply reply = Web.call("GET", address(i), "/ready", null, 1);
        ready += reply != null && reply.status() == 200 ? 1 : 0;
      }
      if (ready == COUNT) {
        return true;
      }
      Web.sleep(0.2);
    }
    return false;
  }

  /** Resident memory of a process in MB. */
  long residentMb(int index) {
    try {
      for (String line : Files.readAllLines(Path.of("/proc", Long.toString(processes[index].pid()), "status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
        }
      }
    } catch (IOException e) {
      return -1;
    }
    return -1;
  }

}
