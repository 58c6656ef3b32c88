/**
 * Messages between controllers: the frames, their encoding, and the TCP connections that carry
 * them.
 *
 * <p>The frame format must stay compatible with the previous version. Frames are delivered at most
 * once, and their order is not guaranteed across reconnects; senders are responsible for timeouts
 * and retries. The package does not interpret the content of frames. Frames are sent and received
 * on the core loop.
 */
package io.embernotch.peer;
