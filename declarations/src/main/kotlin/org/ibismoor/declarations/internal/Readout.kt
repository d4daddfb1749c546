/**
 * A value that was read together with the findings of its reading. A bad input still has a value, so that reading
 * goes on and one fault does not hide or cause others; the findings decide whether the value may be used.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

internal data class Readout<out T>(val value: T, val findings: List<Finding> = emptyList()) {
    fun <R> map(change: (T) -> R): Readout<R> = Readout(change(value), findings)
}

internal fun <T> List<Readout<T>>.together(): Readout<List<T>> = Readout(map { it.value }, flatMap { it.findings })
