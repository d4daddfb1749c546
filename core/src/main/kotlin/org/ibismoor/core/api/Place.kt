/**
 * Location of a finding: a file, flag or environment variable, and optionally a line and column counted from 1.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
data class Place(val source: String, val line: Int? = null, val column: Int? = null) {
    override fun toString(): String = listOfNotNull(source, line, column).joinToString(":")
}
