package io.embernotch.testkit;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.cloud.CloudClient;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpCaller;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import java.util.concurrent.Executor;

/** Contexts for tests of single parts: on a fake clock, with just what the part uses. */
public final class TestContexts {
  private TestContexts() {}

  /** With workers to call. */
  public static ControllerContext withWorkers(
      Settings settings, FakeTime time, HttpCaller agentClient) {
    return create(settings, OperatorSettings.DEFAULTS, time, null, agentClient, null);
  }

  /** With a cloud. */
  public static ControllerContext withCloud(Settings settings, FakeTime time, CloudClient cloud) {
    return create(settings, OperatorSettings.DEFAULTS, time, cloud, null, null);
  }

  /** With operators' settings, and what runs blocking tasks. */
  public static ControllerContext withBlocking(
      Settings settings,
      OperatorSettings operatorSettings,
      FakeTime time,
      Executor blockingExecutor) {
    return create(settings, operatorSettings, time, null, null, blockingExecutor);
  }

  private static ControllerContext create(
      Settings settings,
      OperatorSettings operatorSettings,
      FakeTime time,
      CloudClient cloud,
      HttpCaller agentClient,
      Executor blockingExecutor) {
    return new ControllerContext(
        settings,
        operatorSettings,
        time,
        time,
        time,
        EventLoopProfile.NONE,
        null,
        cloud,
        agentClient,
        null,
        blockingExecutor);
  }
}
