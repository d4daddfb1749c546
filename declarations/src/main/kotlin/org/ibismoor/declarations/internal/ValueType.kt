/**
 * A type of scalar value: how its text is read, what a wrong text is told and which value stands in for a wrong one.
 */
package org.ibismoor.declarations.internal

internal interface ValueType<T : Any> {
    /** Said after "expected". */
    val description: String

    /** Stands in for a missing or wrong value, which is reported. */
    val substitute: T

    /** The value of [text], or null if it has another type or is out of range. */
    fun parse(text: String): T?
}
