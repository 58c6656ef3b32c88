/**
 * One controller node: it accepts requests and agents' heartbeats, exchanges frames with the other
 * controllers, and runs the leader while its node holds the leader key.
 *
 * <p>{@link io.embernotch.controller.Controller} assembles the node and is the only public type.
 * Everything here runs on the core loop. The package decides where a message goes; it must not
 * change jobs, machines or attempts, which belong to the leader, and must not read or write keys
 * other than the one of machine types.
 */
package io.embernotch.controller;
