package io.embernotch.testkit;

/** Job descriptions as users submit them, and the names of their tasks. */
public final class TestJobs {
  private TestJobs() {}

  /**
   * A job of the team red.
   *
   * @param shape {@code array}, {@code group} or {@code standing}, as on the wire
   */
  public static String job(String ref, String shape, int tasks) {
    return "{\"ref\":\""
        + ref
        + "\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\""
        + shape
        + "\",\"rank\":\"standard\",\"shards\":"
        + tasks
        + ",\"cores\":4.0,\"cards\":1.0,\"mem_gb\":20.0,"
        + "\"bundle\":\"img\",\"size_gb\":1.0,\"flavors\":null,\"room\":null,\"one_zone\":false,\"scatter\":false,"
        + "\"loaner\":true,\"expect_s\":30.0,\"snapshot_s\":10.0,\"flush_s\":2.0,\"due_s\":null}";
  }

  /** An array job that depends on others. */
  public static String dependentJob(String ref, int tasks, String... dependencies) {
    return job(ref, "array", tasks)
        .replace("}", ",\"awaits\":[\"" + String.join("\",\"", dependencies) + "\"]}");
  }

  /** The job of a task, whose name is JOB/INDEX. */
  static String refOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  static int indexOf(String task) {
    return Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
  }
}
