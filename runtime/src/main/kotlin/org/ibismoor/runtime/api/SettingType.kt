/**
 * A type of setting: how its text is parsed, and how an error message describes the expected value.
 */
package org.ibismoor.runtime.api

interface SettingType<T : Any> {
    /** Follows "expected" in the remedy of a finding. */
    val description: String

    /** Parses [text]; null if it is invalid or out of range. */
    fun parse(text: String): T?
}
