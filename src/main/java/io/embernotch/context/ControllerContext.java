package io.embernotch.context;

import io.embernotch.actor.Clock;
import io.embernotch.actor.EventLoopProfile;
import io.embernotch.actor.Timers;
import io.embernotch.cloud.CloudClient;
import io.embernotch.http.HttpCaller;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.store.StoreClient;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Settings, clocks, executors and clients that the parts of a controller share.
 *
 * @param settings the platform's settings
 * @param operatorSettings the operators' settings
 * @param clock monotonic and wall-clock time of the process
 * @param timers timers on the core loop
 * @param coreLoop runs tasks on the core loop, the event loop of the controller
 * @param profile measures what the time of the core loop is spent on
 * @param store client of the store
 * @param cloud client of the cloud
 * @param agentClient HTTP client for the agents of the machines
 * @param nameGenerator generates globally unique names
 * @param blockingExecutor runs blocking tasks such as disk access
 */
public record ControllerContext(
    Settings settings,
    OperatorSettings operatorSettings,
    Clock clock,
    Timers timers,
    Executor coreLoop,
    EventLoopProfile profile,
    StoreClient store,
    CloudClient cloud,
    HttpCaller agentClient,
    Supplier<String> nameGenerator,
    Executor blockingExecutor) {}
