/**
 * State other than jobs that passes from one leader's term to the next: entries under {@code
 * shared/} in the store.
 *
 * <p>The package reads and writes these entries, limits their write rate, and decides which
 * generation of the operators' settings applies. It must not interpret entries of other packages,
 * and must not report a change as stored before its commit is answered.
 */
package io.embernotch.shared;
