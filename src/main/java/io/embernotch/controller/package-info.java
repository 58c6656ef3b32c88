/**
 * A controller node. It serves requests from users and heartbeats from agents, exchanges frames
 * with the other controllers, and runs the leader while its node holds the leader key.
 *
 * <p>{@link io.embernotch.controller.Controller} assembles the node and is the only public type.
 * All code of the package runs on the controller's event loop. The package routes messages. It must
 * not change jobs, machines or attempts, which belong to the leader, and must not read or write any
 * store key except the one of machine types.
 */
package io.embernotch.controller;
