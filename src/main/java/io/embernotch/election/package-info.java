/**
 * Leader election among the controllers: the leader key in the store, and what is known of the
 * other controllers while it can't be read.
 *
 * <p>The package decides who leads and under which epoch. What a controller does as leader or
 * follower is its listener's concern, and which incarnation of the store's contents may be led is
 * decided behind {@link io.embernotch.election.Candidacy}; neither is known here. It must not write
 * any key but the leader key and what a claim adds. Everything runs on the core loop.
 */
package io.embernotch.election;
