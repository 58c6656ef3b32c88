package io.embernotch.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * Loads every class of the program from its jar, so that the class archive that the JVM writes at
 * the end of a rehearsal holds them all. A rehearsal alone never leads a cluster with machines and
 * jobs; the classes that a leader needs then would be read and verified one by one in the first
 * seconds after a failover, on a share of a core, while live services wait.
 */
final class ClassPreloader {
  private static final String PACKAGE_PATH = "io/embernotch/";
  private static final String CLASS_SUFFIX = ".class";

  private ClassPreloader() {}

  /**
   * Loads the program's classes of a jar, without initializing them.
   *
   * @return how many there are
   * @throws IOException if the jar can't be read
   * @throws ClassNotFoundException if it names a class that is not on the class path
   */
  static int loadAll(Path jar) throws IOException, ClassNotFoundException {
    List<String> classNames;
    try (JarFile file = new JarFile(jar.toFile())) {
      classNames =
          file.stream()
              .map(JarEntry::getName)
              .filter(name -> name.startsWith(PACKAGE_PATH) && name.endsWith(CLASS_SUFFIX))
              .filter(name -> !name.endsWith("package-info.class"))
              .map(ClassPreloader::className)
              .toList();
    }
    for (String className : classNames) {
      Class.forName(className, false, ClassPreloader.class.getClassLoader());
    }
    return classNames.size();
  }

  private static String className(String entryName) {
    return entryName.substring(0, entryName.length() - CLASS_SUFFIX.length()).replace('/', '.');
  }
}
