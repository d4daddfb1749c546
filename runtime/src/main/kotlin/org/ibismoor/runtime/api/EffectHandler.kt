/**
 * Performs the effects of a tick on the control thread, in order. It may write and sync files, but hands anything
 * that waits for a network to other threads.
 */
package org.ibismoor.runtime.api

fun interface EffectHandler<S, E> {
    fun perform(tables: S, effects: List<E>)
}
