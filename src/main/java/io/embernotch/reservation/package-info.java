/**
 * Reserved capacity: which capacity of which machine is reserved for which work, across leaders.
 *
 * <p>The package owns the shared state entries {@code reserve} and {@code held/...}, and the
 * reserved amounts of {@link io.embernotch.model.Machine}. It decides how much each reservation
 * wants free, hands that and what is reserved to the scheduler, and has the result written. It must
 * not place tasks or choose machines: that is up to the scheduler; and it must not give capacity to
 * others before the store is known to hold its release.
 */
package io.embernotch.reservation;
