/**
 * Performs the effects of a tick in order, on the control thread. It may write and sync files, but must leave network
 * I/O to other threads.
 */
package org.ibismoor.runtime.api

fun interface EffectHandler<S, E> {
    fun perform(tables: S, effects: List<E>)
}
