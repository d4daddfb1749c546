/**
 * Result of reading a part of a caller's request: the value, or a sentence that says what is wrong with it.
 */
package org.ibismoor.router.internal

internal sealed interface Parsed<out T> {
    data class Value<T>(val value: T) : Parsed<T>

    data class Malformed(val problem: String) : Parsed<Nothing>
}

internal inline fun <T, R> Parsed<T>.then(next: (T) -> Parsed<R>): Parsed<R> =
    when (this) {
        is Parsed.Value -> next(value)
        is Parsed.Malformed -> this
    }
