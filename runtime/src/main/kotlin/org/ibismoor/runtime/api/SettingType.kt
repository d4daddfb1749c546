/**
 * A type of setting: how its text is read and what a wrong text is told.
 */
package org.ibismoor.runtime.api

interface SettingType<T : Any> {
    /** Said after "expected". */
    val description: String

    /** The value of [text], or null if it is not of this type or out of range. */
    fun parse(text: String): T?
}
