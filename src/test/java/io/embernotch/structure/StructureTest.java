package io.embernotch.structure;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Packages are documented, limited in size, and free of cyclic dependencies. */
@AnalyzeClasses(packages = "io.embernotch", importOptions = DoNotIncludeTests.class)
class StructureTest {
  private static final Path SOURCES = Path.of("src/main/java/io/embernotch");
  private static final int MAX_FILE_LINES = 450;

  @ArchTest
  static final ArchRule PACKAGES_ARE_ACYCLIC =
      slices().matching("io.embernotch.(*)..").should().beFreeOfCycles();

  /**
   * The iteration order of these copies differs from one process to the next, so that a simulation
   * would not be repeatable by its seed.
   */
  @ArchTest
  static final ArchRule COPIES_KEEP_ITERATION_ORDER =
      noClasses()
          .should()
          .callMethod(Set.class, "copyOf", Collection.class)
          .orShould()
          .callMethod(Map.class, "copyOf", Map.class);

  @Test
  void noFileAndNoPackageIsTooLarge() {
    Map<Path, Integer> lines = files().collect(Collectors.toMap(p -> p, StructureTest::lines));
    assertThat(lines.entrySet()).filteredOn(e -> e.getValue() > MAX_FILE_LINES).isEmpty();
    int all = lines.values().stream().mapToInt(n -> n).sum();
    Map<Path, Integer> packages =
        lines.entrySet().stream()
            .collect(
                Collectors.groupingBy(
                    e -> e.getKey().getParent(), Collectors.summingInt(Map.Entry::getValue)));
    assertThat(packages).hasSizeGreaterThan(10);
    assertThat(packages.entrySet()).filteredOn(e -> e.getValue() * 4 > all).isEmpty();
  }

  @Test
  void everyPackageIsListedInTheArchitectureDocument() throws IOException {
    String page = Files.readString(Path.of("docs/ARCHITECTURE.md"));
    List<String> names =
        files()
            .map(p -> SOURCES.relativize(p.getParent()).toString())
            .distinct()
            .filter(n -> !n.isEmpty())
            .toList();
    assertThat(names).allSatisfy(name -> assertThat(page).contains("| `" + name + "` |"));
  }

  private static Stream<Path> files() {
    try (Stream<Path> all = Files.walk(SOURCES)) {
      return all.filter(p -> p.toString().endsWith(".java")).toList().stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static int lines(Path file) {
    try (Stream<String> all = Files.lines(file)) {
      return (int) all.count();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
