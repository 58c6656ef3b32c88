/**
 * The client of the cloud's interface: machine types, rental, deletion and the machine list.
 *
 * <p>The package owns the paths and the rate limit of that interface. It repeats nothing by itself
 * and keeps no machines: what follows from an answer, or from its absence, is up to {@code fleet}.
 * Core loop only.
 */
package io.embernotch.cloud;
