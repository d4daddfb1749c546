/**
 * Result of parsing a part of a caller's request: the value, or a description of the problem for the error message.
 */
package org.ibismoor.router.internal

internal sealed interface Parsed<out T> {
    data class Value<T>(val value: T) : Parsed<T>

    data class Malformed(val problem: String) : Parsed<Nothing>
}

internal inline fun <T, R> Parsed<T>.flatMap(transform: (T) -> Parsed<R>): Parsed<R> =
    when (this) {
        is Parsed.Value -> transform(value)
        is Parsed.Malformed -> this
    }
