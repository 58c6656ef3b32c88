/**
 * What all parts of a controller share: their common context, the numbering of process
 * incarnations, and small utilities.
 *
 * <p>The package holds no state of the cluster and makes no decisions. Its main type is {@link
 * io.embernotch.context.ControllerContext}.
 */
package io.embernotch.context;
