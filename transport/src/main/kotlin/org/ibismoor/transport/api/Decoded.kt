/**
 * Result of decoding a message.
 */
package org.ibismoor.transport.api

sealed interface Decoded<out T> {
    data class Value<T>(val value: T) : Decoded<T>

    /** The text is no such message; [problem] says where and why. */
    data class Malformed(val problem: String) : Decoded<Nothing>
}
