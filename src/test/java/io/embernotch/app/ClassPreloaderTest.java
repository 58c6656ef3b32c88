package io.embernotch.app;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The class archive must hold what only a leader with machines and jobs needs. */
class ClassPreloaderTest {
  @TempDir Path directory;

  private Path jar(String... entries) throws IOException {
    Path jar = directory.resolve("program.jar");
    try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar))) {
      for (String entry : entries) {
        out.putNextEntry(new JarEntry(entry));
        out.closeEntry();
      }
    }
    return jar;
  }

  @Test
  void loadsTheProgramsClassesAndNothingElse() throws Exception {
    Path jar =
        jar(
            "io/embernotch/model/JobPhase.class",
            "io/embernotch/model/package-info.class",
            "io/embernotch/leader/Leader.class",
            "org/example/Missing.class",
            "operator.proto");
    assertThat(ClassPreloader.loadAll(jar)).isEqualTo(2);
  }

  @Test
  void aClassThatIsNotOnTheClassPathIsAnError() throws Exception {
    Path jar = jar("io/embernotch/leader/Missing.class");
    assertThatThrownBy(() -> ClassPreloader.loadAll(jar))
        .isInstanceOf(ClassNotFoundException.class);
  }
}
