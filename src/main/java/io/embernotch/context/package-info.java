/**
 * What every part of a controller is given to work with, and small helpers without a better home.
 *
 * <p>The package owns {@link io.embernotch.context.ControllerContext} and how process incarnations
 * are numbered. It holds no state of the cluster and makes no decisions.
 */
package io.embernotch.context;
