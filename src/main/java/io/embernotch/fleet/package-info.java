/**
 * The fleet of rented machines: scale-out, scale-in, the cloud's machine list, and the failure
 * detection that decides when a machine is given up.
 *
 * <p>The package owns all calls that rent or delete machines, and the counts from which failure
 * rates are estimated. It neither places nor starts tasks; it reports changes that affect a
 * machine's tasks through {@link io.embernotch.fleet.FleetManager.Listener}. It reports an attempt
 * as ended only with proof: the cloud's response to a deletion, or an expired worker lease.
 * Everything runs on the leader's event loop.
 */
package io.embernotch.fleet;
