package io.embernotch.settings;

/** An IP number and a port, as the settings and the cloud write them. */
public record HostPort(String host, int port) {
  public static HostPort parse(String text) {
    int colon = text == null ? -1 : text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not HOST:PORT: " + text);
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not HOST:PORT: " + text);
    }
    if (port < 1 || port > 65535) {
      throw new IllegalArgumentException("port out of range: " + text);
    }
    return new HostPort(text.substring(0, colon), port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
