/**
 * Wire and storage formats: JSON of the HTTP interfaces, of the store's values and of the cloud's
 * replies.
 *
 * <p>The package owns the names of fields, enum values and store keys; each stands once, as a
 * constant. Nothing here does input or output, keeps state or decides anything: codecs turn values
 * of {@code model} and {@code settings} into JSON and back, and refuse what is malformed with
 * {@link io.embernotch.codec.MalformedInputException}. All methods may be called from any thread.
 */
package io.embernotch.codec;
