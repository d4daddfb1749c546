/**
 * A type of scalar value: its parser, the description that findings give, and the substitute for an invalid value.
 */
package org.ibismoor.declarations.internal

internal interface ValueType<T : Any> {
    /** Follows "expected" in the text of a finding. */
    val description: String

    /** Used instead of a missing or invalid value, which is reported as a finding. */
    val substitute: T

    /** Null if [text] has another type or is out of range. */
    fun parse(text: String): T?
}
