/**
 * One fault in an input, with its place and its remedy. Checks collect findings and report them together.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
data class Finding(val place: Place, val problem: String, val remedy: String) {
    override fun toString(): String = "$place: $problem; $remedy"
}
