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
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** What the commands that talk to a running controller share. */
abstract class ClientCommand {
  static final int OK = 0;
  static final int REFUSED = 1;
  static final int UNREACHABLE = 3;
  static final int UNKNOWN_JOB = 4;
  static final int TRY_LATER = 5;
  private static final double TIMEOUT_S = 5;

  @Spec CommandSpec spec;

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      defaultValue = "127.0.0.1:8080",
      description = "a controller's client address (default: ${DEFAULT-VALUE})")
  private String to;

  /** Makes one call, prints the answer, and returns the exit code. */
  int call(String method, String path, byte[] body) {
    PrintWriter err = spec.commandLine().getErr();
    HostPort address;
    try {
      address = HostPort.parse(to);
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), "--to: " + e.getMessage());
    }
    Vertx vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setFileSystemOptions(
                    new FileSystemOptions()
                        .setClassPathResolvingEnabled(false)
                        .setFileCachingEnabled(false)));
    try {
      VertxHttpCaller caller =
          new VertxHttpCaller(
              vertx,
              new SystemClock(),
              new VertxTimers(vertx, vertx.getOrCreateContext()),
              1,
              1,
              TIMEOUT_S,
              TIMEOUT_S);
      HttpReply reply =
          caller
              .call(method, address, path, body, TIMEOUT_S)
              .toCompletionStage()
              .toCompletableFuture()
              .get();
      String text = new String(reply.body(), StandardCharsets.UTF_8);
      if (reply.status() / 100 == 2) {
        spec.commandLine().getOut().println(text);
        return OK;
      }
      err.println("embernotch: " + address + " answers " + reply.status() + ": " + text);
      return switch (reply.status()) {
        case 404 -> UNKNOWN_JOB;
        case 429, 503, 504 -> TRY_LATER;
        default -> REFUSED;
      };
    } catch (ExecutionException e) {
      String why =
          e.getCause() instanceof CallFailedException
              ? e.getCause().getMessage()
              : String.valueOf(e.getCause());
      err.println("embernotch: cannot reach " + address + ": " + why);
      return UNREACHABLE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return UNREACHABLE;
    } finally {
      vertx.close();
    }
  }
}
