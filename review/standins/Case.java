import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** What all cases share: settings, stand-ins, the record and the exit code. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** Whether the disruption is made. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  Path directory;
  Store store;
  Fleet fleet;
  Controllers controllers;
  Users users;

  /** Plays the case; HELD, BROKEN or NOT_RUN. */
  abstract int play() throws Exception;

  /** Machines that can be rented. */
  int machines() {
    return 6;
  }

  Site site() {
    return Site.KYUSHU;
  }

  /** Ends the program; the argument is the folder that record.txt goes to. */
  static void run(Case played, String[] args) {
    int result = NOT_RUN;
    try {
      Record.open(Path.of(args[0], "record.txt"));
      Record.say("disruption: %s", TROUBLE ? "yes" : "no (TROUBLE=0)");
      played.directory = Files.createTempDirectory("embernotch-review");
      Site site = played.site();
      played.store = site.store();
      played.fleet = site.fleet(played.machines());
      played.controllers =
          new Controllers(
              played.directory, played.store, played.fleet.listen(), site.zones(), site.cluster());
      played.fleet.controllers = played.controllers;
      played.users = new Users(played.controllers, played.fleet);
      result = played.play();
    } catch (Exception e) {
      Record.say("the case could not run: %s", e);
    }
    if (played.controllers != null) {
      played.controllers.close();
    }
    if (System.getenv("KEEP_LOGS") == null) {
      remove(played.directory);
    } else {
      System.out.println(played.directory);
    }
    Record.say(
        result == BROKEN ? "the rule was broken" : result == HELD ? "the rule held" : "not run");
    System.exit(result);
  }

  private static void remove(Path directory) {
    if (directory == null) {
      return;
    }
    try (var files = Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      Record.add("not removed: %s", e);
    }
  }

  /** Starts all controllers and waits until they are ready and one leads. */
  void startAll() {
    for (int i = 0; i < Controllers.COUNT; i++) {
      controllers.start(i);
    }
    if (!controllers.awaitReady(20)) {
      throw new IllegalStateException("the controllers are not ready");
    }
    double until = Record.now() + 10;
    while (store.leader() == null && Record.now() < until) {
      Web.sleep(0.1);
    }
    Record.say("all are ready, %s leads", store.leader());
  }

  int leaderIndex() {
    String leader = store.leader();
    for (int i = 0; i < Controllers.COUNT; i++) {
      if (Controllers.name(i).equals(leader)) {
        return i;
      }
    }
    return -1;
  }
}
