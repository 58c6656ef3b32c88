/**
 * Snapshot files: one ZIP archive for each snapshot, in a directory that outlives the controller
 * processes.
 *
 * <p>The package owns the archive format, the file names, and the times at which a leader takes a
 * snapshot. Files are written on a thread for blocking work; the one read during a restore blocks
 * its caller. The package does not decide whether a snapshot is used.
 */
package io.embernotch.snapshot.file;
