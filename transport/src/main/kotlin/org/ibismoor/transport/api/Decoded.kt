/**
 * Result of decoding a message.
 */
package org.ibismoor.transport.api

sealed interface Decoded<out T> {
    data class Value<T>(val value: T) : Decoded<T>

    /** The text is not a valid message; [problem] names the position and the reason. */
    data class Malformed(val problem: String) : Decoded<Nothing>
}
