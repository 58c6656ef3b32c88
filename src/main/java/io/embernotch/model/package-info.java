/**
 * The entities that the controllers work with: jobs, their attempts, machines, and what workers
 * report.
 *
 * <p>The package owns what these entities are and the rules that concern one of them alone. It does
 * no input or output, knows no formats and makes no decisions that need more than one entity.
 * {@link io.embernotch.model.Job}, {@link io.embernotch.model.Attempt} and {@link
 * io.embernotch.model.Machine} are mutable, belong to the leader's cluster state and are used on
 * the core loop alone; all else is immutable.
 *
 * <p>Times named {@code ...At} are steady seconds of the leader's {@link
 * io.embernotch.actor.Clock#now}, durations named {@code ...S} are seconds, and times named {@code
 * ...Ms} are milliseconds of the time of day.
 */
package io.embernotch.model;
