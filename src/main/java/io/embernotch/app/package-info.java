/**
 * The program: its command line, and the assembly of a controller.
 *
 * <p>The package owns options, exit codes and the wiring of event loops. It has no logic of its
 * own: commands print what other packages answer. Nothing depends on it.
 */
package io.embernotch.app;
