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
 * What a controller is given to work with.
 *
 * @param settings the platform's settings
 * @param operator the operators' settings
 * @param clock the process's clocks
 * @param timers timers on the core loop
 * @param loop runs tasks on the core loop
 * @param profile measures the core loop
 * @param store client of the store
 * @param cloud client of the cloud
 * @param workers caller of the workers
 * @param names makes globally unique names
 * @param blocking runs tasks that block, such as those that wait for a disk
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
