/**
 * JSON formats of the HTTP interfaces, of the values in the store and of the cloud's responses.
 *
 * <p>The package defines the names of fields, enum values and store keys as constants. The codecs
 * are stateless and perform no I/O: they convert values of {@code model} and {@code settings} to
 * JSON and back, and reject malformed input with {@link
 * io.embernotch.codec.MalformedInputException}. All methods are safe to call from any thread.
 */
package io.embernotch.codec;
