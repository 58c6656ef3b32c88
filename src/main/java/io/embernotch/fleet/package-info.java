/**
 * The fleet of rented machines: scale-out, scale-in, the cloud's machine list, and the failure
 * detection that decides when a machine is given up.
 *
 * <p>The package owns all calls that rent or delete machines, and the counts from which failure
 * rates are estimated. It does not place tasks and starts none; what it learns of a machine's tasks
 * it reports through {@link io.embernotch.fleet.FleetManager.Listener}. An attempt is only reported
 * as gone with proof: the cloud's answer to a deletion, or an expired worker lease. Everything runs
 * on the core loop of the leader.
 */
package io.embernotch.fleet;
