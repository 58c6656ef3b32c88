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
 * Puts a controller together: a loop for what it decides, one for the crowd that it answers, one
 * for its lease.
 */
final class Server {
  private static final Logger LOG = LoggerFactory.getLogger(Server.class);

  private static final double KEEP_S = 3600;

  private Server() {}

  static void start(Settings settings, OperatorSettings operator) {
    VertxOptions options = new VertxOptions();
    options.setEventLoopPoolSize(3).setWorkerPoolSize(1).setInternalBlockingPoolSize(1);
    // A process with a share of a core is late now and then; that is no reason for a stack trace.
    options.setBlockedThreadCheckInterval(60_000);
    options.setFileSystemOptions(
        new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false));
    Vertx vertx = Vertx.vertx(options);
    Context loop = vertx.getOrCreateContext();
    loop.runOnContext(v -> wire(vertx, loop, settings, operator));
  }

  private static void wire(
      Vertx vertx, Context loop, Settings settings, OperatorSettings operator) {
    SystemClock clock = new SystemClock();
    EventLoopProfile profile = EventLoopProfile.createIfLogged();
    Timers timers = profile.around("timer", new VertxTimers(vertx, loop));
    double heartbeat = settings.workers().heartbeatIntervalS();
    VertxHttpCaller store = new VertxHttpCaller(vertx, clock, timers, 8, 1, heartbeat / 3, KEEP_S);
    VertxHttpCaller cloud = new VertxHttpCaller(vertx, clock, timers, 4, 1, heartbeat / 3, KEEP_S);
    // Each worker has a connection to us already: ours to them are few at a time, and short-lived.
    int direct = settings.quota().directCalls();
    VertxHttpCaller workers =
        new VertxHttpCaller(vertx, clock, timers, 1, direct, heartbeat / 3, heartbeat / 3);
    VertxPeerLink peers = new VertxPeerLink(vertx, timers, settings);
    ControllerContext context =
        new ControllerContext(
            settings,
            operator,
            clock,
            timers,
            task -> loop.runOnContext(v -> profile.run("asked", task)),
            profile,
            new StoreClient(store, clock, timers, settings),
            new CloudClient(cloud, clock, timers, settings),
            workers,
            () -> UUID.randomUUID().toString(),
            task ->
                vertx.executeBlocking(
                    () -> {
                      task.run();
                      return null;
                    }));
    Promise<LeaseRenewer> keeper = Promise.promise();
    vertx
        .deployVerticle(
            (Deployable)
                lease -> {
                  keeper.complete(keeper(vertx, lease, context));
                  return Future.succeededFuture();
                })
        .compose(v -> keeper.future())
        .onSuccess(
            kept ->
                loop.runOnContext(
                    v -> listen(vertx, context, peers, new Controller(context, peers, kept))));
  }

  private static LeaseRenewer keeper(Vertx vertx, Context lease, ControllerContext context) {
    Settings settings = context.settings();
    VertxTimers timers = new VertxTimers(vertx, lease);
    VertxHttpCaller caller =
        new VertxHttpCaller(
            vertx,
            context.clock(),
            timers,
            1,
            1,
            settings.workers().heartbeatIntervalS() / 3,
            KEEP_S);
    return new LeaseRenewer(
        caller,
        settings.storeAddress(),
        context.clock(),
        timers,
        task -> lease.runOnContext(v -> task.run()),
        context.loop(),
        settings.leaderLeaseS(context.operator()),
        Settings.DRIFT,
        settings.contactTimeoutS());
  }

  private static void listen(
      Vertx vertx, ControllerContext context, VertxPeerLink peers, Controller controller) {
    Settings settings = context.settings();
    vertx
        .deployVerticle((Deployable) front -> front(vertx, front, context, controller))
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

  /** A deployment is given a loop of its own while there is one. */
  private static Future<?> front(
      Vertx vertx, Context loop, ControllerContext context, Controller controller) {
    Settings settings = context.settings();
    return new HttpApiServer(
            controller, context.loop(), context.clock(), new VertxTimers(vertx, loop), settings)
        .listen(vertx, settings.clientListen());
  }
}
