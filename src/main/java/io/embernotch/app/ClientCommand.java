package io.embernotch.app;

import io.embernotch.actor.SystemClock;
import io.embernotch.actor.VertxTimers;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpReply;
import io.embernotch.http.VertxHttpCaller;
import io.embernotch.settings.HostPort;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Base of the commands that call a running controller. */
abstract class ClientCommand {
  /** Exit code: done. */
  static final int OK = 0;

  /** Exit code: the controller refuses the request. */
  static final int REFUSED = 1;

  /** Exit code: no answer from the controller. */
  static final int UNREACHABLE = 3;

  /** Exit code: the controller knows no such job. */
  static final int UNKNOWN_JOB = 4;

  /** Exit code: the controller cannot serve the request now. */
  static final int TRY_LATER = 5;

  private static final double TIMEOUT_S = 5;

  @Spec CommandSpec spec;

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      defaultValue = "127.0.0.1:8080",
      description = "a controller's client address (default: ${DEFAULT-VALUE})")
  private String to;

  /**
   * Makes one call and prints the answer.
   *
   * @param body JSON body; null: none
   * @return the exit code
   */
  int call(String method, String path, byte[] body) {
    HostPort address = address();
    Vertx vertx = vertx();
    try {
      HttpReply reply =
          caller(vertx)
              .call(method, address, path, body, TIMEOUT_S)
              .toCompletionStage()
              .toCompletableFuture()
              .get();
      return print(reply, address);
    } catch (ExecutionException e) {
      String why =
          e.getCause() instanceof CallFailedException
              ? e.getCause().getMessage()
              : String.valueOf(e.getCause());
      printError("cannot reach " + address + ": " + why);
      return UNREACHABLE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return UNREACHABLE;
    } finally {
      vertx.close();
    }
  }

  private HostPort address() {
    try {
      return HostPort.parse(to);
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), "--to: " + e.getMessage());
    }
  }

  private static Vertx vertx() {
    FileSystemOptions files =
        new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);
    return Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setFileSystemOptions(files));
  }

  private static VertxHttpCaller caller(Vertx vertx) {
    VertxTimers timers = new VertxTimers(vertx, vertx.getOrCreateContext());
    return new VertxHttpCaller(vertx, new SystemClock(), timers, 1, 1, TIMEOUT_S, TIMEOUT_S);
  }

  private int print(HttpReply reply, HostPort address) {
    String text = new String(reply.body(), StandardCharsets.UTF_8);
    if (reply.status() / 100 == 2) {
      spec.commandLine().getOut().println(text);
      return OK;
    }
    printError(address + " answers " + reply.status() + ": " + text);
    return switch (reply.status()) {
      case 404 -> UNKNOWN_JOB;
      case 429, 503, 504 -> TRY_LATER;
      default -> REFUSED;
    };
  }

  private void printError(String text) {
    spec.commandLine().getErr().println("embernotch: " + text);
  }
}
