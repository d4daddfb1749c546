/**
 * Performs the effects of a tick.
 */
package org.ibismoor.runtime.api

/**
 * Calls [perform] for each of [effects], in order. One that throws, also an `Error`, is passed to [onFailure] and does
 * not drop the effects behind it.
 */
@Suppress("TooGenericExceptionCaught") // whatever an effect throws, the following ones belong to other requests
fun <E> performEach(effects: List<E>, onFailure: (E, Throwable) -> Unit, perform: (E) -> Unit) =
    effects.forEach { effect ->
        try {
            perform(effect)
        } catch (e: Throwable) {
            onFailure(effect, e)
        }
    }
