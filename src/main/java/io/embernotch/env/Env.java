package io.embernotch.env;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.actor.Work;
import io.embernotch.cloud.CloudClient;
import io.embernotch.http.Caller;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.store.StoreClient;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * What a controller is given to work with; {@code names} makes names that nobody else ever has,
 * {@code blocking} runs what waits for a disk.
 */
public record Env(
    Settings settings,
    OperatorSettings operator,
    Clock clock,
    Timers timers,
    Executor loop,
    Work work,
    StoreClient store,
    CloudClient cloud,
    Caller workers,
    Supplier<String> names,
    Executor blocking) {}
