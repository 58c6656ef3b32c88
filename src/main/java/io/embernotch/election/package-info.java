/**
 * Leader election among the controllers through the leader key in the store, and tracking of the
 * known leader and of live peers while the key can't be read.
 *
 * <p>The package decides which controller leads, and in which epoch. What a controller does as
 * leader or follower is the concern of its {@link io.embernotch.election.LeadershipListener}. Which
 * incarnation of the store's contents may be led is decided by the implementation of {@link
 * io.embernotch.election.Candidacy}. The package writes only the leader key, and the operations
 * that a candidacy adds to a claim. Everything runs on the core loop, the event loop of the
 * controller.
 */
package io.embernotch.election;
