package io.embernotch.soak;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;

/** The messages that the stand-ins have seen, in their order, for whoever traces a failure. */
final class MessageLog implements AutoCloseable {
  /** As in the controllers' logs, so that lines can be merged. */
  private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");

  private static final int MAX_BODY_CHARACTERS = 600;

  private final BufferedWriter out;
  private final FactLedger facts = new FactLedger(this);

  MessageLog(Path file) throws IOException {
    out = Files.newBufferedWriter(file);
  }

  /** What can be learned of the messages. */
  FactLedger facts() {
    return facts;
  }

  /** A request with its answer. */
  void record(String way, String path, byte[] request, int status, byte[] answer) {
    facts.answered(way, request, status, answer);
    line("%s %s %s -> %d %s".formatted(way, path, text(request), status, text(answer)));
  }

  /** Anything else that happens. */
  void line(String text) {
    try {
      out.write(TIME.format(LocalTime.now(ZoneId.systemDefault())) + " " + text);
      out.newLine();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String text(byte[] body) {
    String text = body == null ? "" : new String(body, StandardCharsets.UTF_8);
    return text.substring(0, Math.min(MAX_BODY_CHARACTERS, text.length()));
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
