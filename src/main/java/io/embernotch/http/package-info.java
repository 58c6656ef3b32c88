/**
 * HTTP: the server that users, workers and health checks reach, and the client for the store, the
 * cloud and the workers.
 *
 * <p>The package owns connections, time limits and status codes, and how long a request may wait
 * for the core loop. It knows nothing of what requests mean: the server hands them to a {@link
 * io.embernotch.http.RequestHandler} on the core loop, and callers say what to send. The server
 * runs on an event loop of its own, the client on that of its caller.
 */
package io.embernotch.http;
