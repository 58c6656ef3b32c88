/**
 * The process's event loops, clocks and timers, as the rest of the program sees them.
 *
 * <p>The package owns how code gets onto a loop (messages to actors, timers) and how a loop's time
 * is measured. It depends on no other package and knows nothing of jobs or machines. Clocks and
 * timers are injected everywhere, so that tests can set them.
 */
package io.embernotch.actor;
