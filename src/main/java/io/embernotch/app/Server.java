package io.embernotch.app;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.actor.SystemClock;
import io.embernotch.actor.Timers;
import io.embernotch.actor.VertxTimers;
import io.embernotch.cloud.CloudClient;
import io.embernotch.context.ControllerContext;
import io.embernotch.controller.Controller;
import io.embernotch.http.HttpApiServer;
import io.embernotch.http.VertxHttpCaller;
import io.embernotch.peer.VertxPeerLink;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.store.LeaseRenewer;
import io.embernotch.store.StoreClient;
import io.vertx.core.Context;
import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.UUID;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Assembles a controller with three event loops: the core loop for its decisions, one for the HTTP
 * server, and one for the renewal of its leader lease.
 */
final class Server {
  private static final Logger LOG = LoggerFactory.getLogger(Server.class);

  private static final int EVENT_LOOPS = 3;
  private static final int STORE_CONNECTIONS = 8;
  private static final int CLOUD_CONNECTIONS = 4;
  private static final int BLOCKED_THREAD_CHECK_MS = 60_000;

  /** Seconds for which idle connections to the store and the cloud are kept. */
  private static final double KEEP_ALIVE_S = 3600;

  /** Connections are given up after a heartbeat interval divided by this. */
  private static final int CONNECT_TIMEOUTS_PER_HEARTBEAT = 3;

  private Server() {}

  /** Starts a controller; returns before it listens. Exits the process if it cannot listen. */
  static void start(Settings settings, OperatorSettings operatorSettings) {
    VertxOptions options = new VertxOptions();
    options.setEventLoopPoolSize(EVENT_LOOPS).setWorkerPoolSize(1).setInternalBlockingPoolSize(1);
    // A process with a share of a core is paused at times; that is no reason for a stack trace.
    options.setBlockedThreadCheckInterval(BLOCKED_THREAD_CHECK_MS);
    options.setFileSystemOptions(
        new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false));
    Vertx vertx = Vertx.vertx(options);
    Context loop = vertx.getOrCreateContext();
    loop.runOnContext(v -> assemble(vertx, loop, settings, operatorSettings));
  }

  /** On the core loop. */
  private static void assemble(
      Vertx vertx, Context loop, Settings settings, OperatorSettings operatorSettings) {
    ControllerContext context = context(vertx, loop, settings, operatorSettings);
    VertxPeerLink peers = new VertxPeerLink(vertx, context.timers(), settings);
    Promise<LeaseRenewer> renewer = Promise.promise();
    vertx
        .deployVerticle(
            (Deployable)
                leaseLoop -> {
                  renewer.complete(leaseRenewer(vertx, leaseLoop, context));
                  return Future.succeededFuture();
                })
        .compose(v -> renewer.future())
        .onSuccess(
            leaseRenewer ->
                loop.runOnContext(
                    v ->
                        listen(
                            vertx, context, peers, new Controller(context, peers, leaseRenewer))));
  }

  private static ControllerContext context(
      Vertx vertx, Context loop, Settings settings, OperatorSettings operatorSettings) {
    SystemClock clock = new SystemClock();
    EventLoopProfile profile = EventLoopProfile.createIfLogged();
    Timers timers = profile.around("timer", new VertxTimers(vertx, loop));
    double connectS = connectTimeoutS(settings);
    VertxHttpCaller store =
        new VertxHttpCaller(vertx, clock, timers, STORE_CONNECTIONS, 1, connectS, KEEP_ALIVE_S);
    VertxHttpCaller cloud =
        new VertxHttpCaller(vertx, clock, timers, CLOUD_CONNECTIONS, 1, connectS, KEEP_ALIVE_S);
    // Each worker has a connection to this process already: those to workers are few at a time, and
    // short-lived.
    int directCalls = settings.quota().directCalls();
    VertxHttpCaller agentClient =
        new VertxHttpCaller(vertx, clock, timers, 1, directCalls, connectS, connectS);
    return new ControllerContext(
        settings,
        operatorSettings,
        clock,
        timers,
        task -> loop.runOnContext(v -> profile.run("asked", task)),
        profile,
        new StoreClient(store, clock, timers, settings),
        new CloudClient(cloud, clock, timers, settings),
        agentClient,
        () -> UUID.randomUUID().toString(),
        task -> executeBlocking(vertx, task));
  }

  private static void executeBlocking(Vertx vertx, Runnable task) {
    vertx.executeBlocking(
        () -> {
          task.run();
          return null;
        });
  }

  private static double connectTimeoutS(Settings settings) {
    return settings.workers().heartbeatIntervalS() / CONNECT_TIMEOUTS_PER_HEARTBEAT;
  }

  private static LeaseRenewer leaseRenewer(
      Vertx vertx, Context leaseLoop, ControllerContext context) {
    Settings settings = context.settings();
    VertxTimers timers = new VertxTimers(vertx, leaseLoop);
    VertxHttpCaller caller =
        new VertxHttpCaller(
            vertx, context.clock(), timers, 1, 1, connectTimeoutS(settings), KEEP_ALIVE_S);
    return new LeaseRenewer(
        caller,
        settings.storeAddress(),
        context.clock(),
        timers,
        task -> leaseLoop.runOnContext(v -> task.run()),
        context.coreLoop(),
        settings.leaderLeaseS(context.operatorSettings()),
        Settings.DRIFT,
        settings.contactTimeoutS());
  }

  private static void listen(
      Vertx vertx, ControllerContext context, VertxPeerLink peers, Controller controller) {
    Settings settings = context.settings();
    vertx
        .deployVerticle((Deployable) loop -> listenHttp(vertx, loop, context, controller))
        .compose(v -> peers.start(vertx, settings.peerListen()))
        .onSuccess(
            v -> {
              LOG.info(
                  "{} listens on {} and {}",
                  settings.node(),
                  settings.clientListen(),
                  settings.peerListen());
              controller.start();
            })
        .onFailure(
            e -> {
              System.err.println("embernotch: cannot listen: " + e.getMessage());
              System.exit(1);
            });
  }

  /** On an event loop of its own: a deployment is given one while there is an unused one. */
  private static Future<?> listenHttp(
      Vertx vertx, Context loop, ControllerContext context, Controller controller) {
    Settings settings = context.settings();
    return new HttpApiServer(
            controller, context.coreLoop(), context.clock(), new VertxTimers(vertx, loop), settings)
        .listen(vertx, settings.clientListen());
  }
}
