/**
 * Runs the straggler rounds of the paper in the cluster: the leader streams views of machines to
 * the controllers, each controller runs rounds over its partition, and the leader reviews the
 * restarts that they propose.
 *
 * <p>The package owns the schedule of rounds, the streaming of views and the review. The algorithm
 * itself is in {@code straggler}. Nothing here starts tasks: a reviewed restart is a stop with a
 * preferred machine, and the scheduler places the task again. Core loop only.
 */
package io.embernotch.rounds;
