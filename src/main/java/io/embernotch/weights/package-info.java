/**
 * Which machines have the images of live services, kept across leaders.
 *
 * <p>The package owns the shared state entries {@code weights/...}. What it knows is a hint for the
 * scheduler and may be stale: nothing but the place where a task runs best may depend on it.
 */
package io.embernotch.weights;
