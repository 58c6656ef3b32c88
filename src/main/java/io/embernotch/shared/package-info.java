/**
 * State that one leader's term hands to the next one, beside jobs: entries under {@code shared/} in
 * the store.
 *
 * <p>The package owns reading and writing of these entries, the rate at which they are written, and
 * the rule by which generations of the operators' settings replace each other. It must not
 * interpret the entries of others, and must not report a change as stored before its commit is
 * answered.
 */
package io.embernotch.shared;
