package io.embernotch.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * What operators are told about dates that a time zone left out: without it, a release that does
 * not come out on a day of its rule looks like a mistake of the program.
 */
class CalendarCommandTest {
  private static final String APIA =
      "generation: 1 calendar { release { id: 'r' zone: 'Pacific/Apia' time: '07:30' day: FRIDAY day: SATURDAY"
          + " orders { job_class: 'wire' } MORE } }";

  @TempDir Path directory;

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String command, String more, String... arguments) throws IOException {
    Path file = directory.resolve("operator.textproto");
    Files.writeString(file, APIA.replace("MORE", more));
    CommandLine line = Main.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
    String[] all = new String[arguments.length + 3];
    all[0] = command;
    all[1] = "--operator";
    all[2] = file.toString();
    System.arraycopy(arguments, 0, all, 3, arguments.length);
    return line.execute(all);
  }

  @Test
  void aSkippedDateIsNamedAndHasNoOccurrence() throws Exception {
    for (String from : new String[] {"2011-12-28", "2011-12-30"}) {
      out.getBuffer().setLength(0);
      assertThat(run("calendar", "", "--from", from, "--days", "4")).isZero();
      assertThat(out.toString())
          .contains("r/2011-12-31")
          .doesNotContain("r/2011-12-30")
          .contains("r: 2011-12-30 is left out by Pacific/Apia");
    }
  }

  @Test
  void aSkippedDateThatIsNamedIsAMistake() throws Exception {
    int exitCode = run("calendar", "also { date: '2011-12-30' }", "--from", "2011-12-28");
    assertThat(exitCode).isEqualTo(2);
    assertThat(err.toString()).contains("calendar.release[0].also[0].date");
  }
}
