package io.embernotch.app;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Logs to standard error, as much as {@code LOG_LEVEL} says. In code, since reading XML costs a
 * start.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{0} - %msg%n");
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.detachAndStopAllAppenders();
    root.addAppender(appender);
    root.setLevel(Level.WARN);
    // Resets and failed connections are part of the day here, and are told of where they matter.
    context.getLogger("io.vertx.core.net.impl").setLevel(Level.OFF);
    context.getLogger("io.netty").setLevel(Level.ERROR);
    context.getLogger("io.embernotch").setLevel(level(System.getenv("LOG_LEVEL")));
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  static Level level(String name) {
    return switch (name == null ? "" : name.toLowerCase(java.util.Locale.ROOT)) {
      case "error" -> Level.ERROR;
      case "debug" -> Level.DEBUG;
      default -> Level.INFO;
    };
  }
}
