package io.embernotch.settings;

/**
 * The address of a server, as the settings and the cloud write it.
 *
 * @param host IP number or name
 * @param port TCP port, 1 to 65535
 */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65535;

  /**
   * Reads HOST:PORT.
   *
   * @param text the address; null is malformed
   * @throws IllegalArgumentException if it is malformed, or the port out of range
   */
  public static HostPort parse(String text) {
    int colon = text == null ? -1 : text.lastIndexOf(':');
    if (colon <= 0) {
      throw malformed(text);
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw malformed(text);
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port out of range: " + text);
    }
    return new HostPort(text.substring(0, colon), port);
  }

  private static IllegalArgumentException malformed(String text) {
    return new IllegalArgumentException("not HOST:PORT: " + text);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
