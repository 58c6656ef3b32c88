/**
 * Messages between controllers: the frames, their bytes, and the connections that carry them.
 *
 * <p>The package owns the frame format, which is shared with the version before, and the TCP
 * connections. It delivers frames at most once and in no guaranteed order across reconnects; what
 * needs an answer or a retry is up to the sender. It must not decide anything by a frame's content.
 * Frames are received and sent on the core loop.
 */
package io.embernotch.peer;
