/**
 * One problem in an input, with its location and remedy. Checks collect all findings and report them together.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

@Serializable
data class Finding(val place: Place, val problem: String, val remedy: String) {
    override fun toString(): String = "$place: $problem; $remedy"
}
