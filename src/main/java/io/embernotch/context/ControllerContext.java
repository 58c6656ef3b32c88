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
 * What a controller is given to work with; {@code names} makes names that nobody else ever has,
 * {@code blocking} runs what waits for a disk.
 */
public record ControllerContext(
    Settings settings,
    OperatorSettings operator,
    Clock clock,
    Timers timers,
    Executor loop,
    EventLoopProfile profile,
    StoreClient store,
    CloudClient cloud,
    HttpCaller workers,
    Supplier<String> names,
    Executor blocking) {}
