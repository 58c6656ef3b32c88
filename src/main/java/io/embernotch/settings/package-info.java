/**
 * Settings: the platform's TOML file and the operators' file in protobuf text format, read once at
 * the start and checked.
 *
 * <p>The package owns the files' fields, defaults and bounds. Whatever is missing or wrong is a
 * {@link io.embernotch.settings.SettingsException} whose message names the field. Settings are
 * immutable values; they do nothing, and nothing here reads anything but those two files.
 */
package io.embernotch.settings;
