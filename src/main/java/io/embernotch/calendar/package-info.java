/**
 * The embargo calendar: when releases come out, and by when the jobs that are for them must be
 * done.
 *
 * <p>The package owns the shared state entries {@code calendar} and {@code release/...}, and of
 * each {@link io.embernotch.model.Job} the release, its deadline and the remaining run time. It
 * must not decide what runs: the scheduler orders jobs by these deadlines. The time of day decides
 * only which days ahead are written, so the clocks of controllers may differ.
 */
package io.embernotch.calendar;
