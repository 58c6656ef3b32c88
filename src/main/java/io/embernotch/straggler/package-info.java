/**
 * The straggler mitigation of "Energy-Driven Straggler Mitigation in MapReduce", with money in
 * place of watts: which running tasks are stragglers, and where a restart pays off.
 *
 * <p>The package owns the views of machines that a round goes by, the split of machines into
 * partitions, and the round itself. Apart from {@link io.embernotch.straggler.LocalPartition},
 * which keeps the views of one controller's partition, all of it is pure. It sends nothing, stops
 * nothing and starts nothing: a round's result is a list of proposals that the leader reviews.
 */
package io.embernotch.straggler;
