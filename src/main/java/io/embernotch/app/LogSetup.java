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
 * Logs to standard error at the level that {@code LOG_LEVEL} names. In code, since reading XML
 * would lengthen the start.
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
    // Resets and failed connections are normal here, and are logged where they matter.
    context.getLogger("io.vertx.core.net.impl").setLevel(Level.OFF);
    context.getLogger("io.netty").setLevel(Level.ERROR);
    context.getLogger("io.embernotch").setLevel(level(System.getenv("LOG_LEVEL")));
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /** The level that a name stands for; INFO if it is null or unknown. */
  static Level level(String name) {
    return switch (name == null ? "" : name.toLowerCase(java.util.Locale.ROOT)) {
      case "error" -> Level.ERROR;
      case "debug" -> Level.DEBUG;
      default -> Level.INFO;
    };
  }
}
