import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 with JSON bodies, on loopback. */
final class Web {
  static final ObjectMapper JSON = new ObjectMapper();

  /** No request body and no line of a response to workers or users may be longer (PROTOCOL). */
  static final int MAX_BODY = 64 * 1024;

  static final ExecutorService POOL =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private static final Random PORTS = new Random();
  private static final Set<Integer> GIVEN = new HashSet<>();
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .executor(POOL)
          .build();

  record Reply(int status, byte[] body) {
    JsonNode json() {
      try {
        return JSON.readTree(body);
      } catch (IOException e) {
        return JSON.createObjectNode();
      }
    }

    String text() {
      return new String(body, java.nio.charset.StandardCharsets.UTF_8);
    }
  }

  interface Handler {
    /** The reply; null: the connection is closed without one. */
    Reply handle(String method, URI uri, byte[] body) throws Exception;
  }

  private Web() {}

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  static byte[] bytes(JsonNode node) {
    try {
      return JSON.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static Reply reply(int status, JsonNode body) {
    return new Reply(status, bytes(body));
  }

  /** A port of 127.0.0.1 that nobody listens on, below those that outgoing connections get. */
  static synchronized int freePort() {
    while (true) {
      int port = 10_000 + PORTS.nextInt(20_000);
      if (GIVEN.add(port)) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
          return port;
        } catch (IOException e) {
          // Taken: try another one.
        }
      }
    }
  }

  static HttpServer serve(int port, Handler handler) {
    try {
      HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
      server.setExecutor(POOL);
      server.createContext("/", exchange -> answer(exchange, handler));
      server.start();
      return server;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    Reply reply;
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      reply = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI(), body);
    } catch (Exception e) {
      reply = reply(500, object().put("error", e.toString()));
      Record.add("stand-in failed: %s %s: %s", exchange.getRequestMethod(), exchange.getRequestURI(), e);
    }
    if (reply == null) {
      exchange.close();
      return;
    }
    exchange.getResponseHeaders().set("content-type", "application/json");
    exchange.sendResponseHeaders(reply.status, reply.body.length == 0 ? -1 : reply.body.length);
    try (OutputStream out = exchange.getResponseBody()) {
      if (reply.body.length > 0) {
        out.write(reply.body);
      }
    }
  }

  /** Null if there is no answer in time. */
  static Reply call(String method, String hostPort, String path, byte[] body, double timeoutS) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + hostPort + path))
            .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      HttpResponse<byte[]> response =
          CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      return null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
