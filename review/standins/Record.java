import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Record {
  private static final long START = System.nanoTime();
  private static PrintWriter out;

  private Record() {}

  static synchronized void open(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static synchronized void add(String format, Object... values) {
    String line = String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, values);
    if (out != null) {
      out.println(line);
      out.flush();
    }
  }

  /** A line of the record that is shown on standard output as well. */
  static void say(String format, Object... values) {
    add(format, values);
    System.out.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, values));
  }
}
