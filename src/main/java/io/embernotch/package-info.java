/** A cluster scheduler: a library of actors with a thin program on top. */
package io.embernotch;
