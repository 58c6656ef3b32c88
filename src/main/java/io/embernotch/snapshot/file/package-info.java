/**
 * Snapshots as files: one ZIP archive each, in a directory that outlives the processes.
 *
 * <p>The package owns the archive format, the names of files, and when a leader takes a snapshot.
 * Reading and writing block and run on a thread for blocking work, apart from the one read at a
 * restore. It does not decide whether a snapshot is used.
 */
package io.embernotch.snapshot.file;
