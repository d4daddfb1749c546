/**
 * Tokens issued to one router session, returned by it, and reported by it as spent. All counters only grow.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable

@Serializable
data class SessionAllowance(val issued: Long = 0, val returned: Long = 0, val settled: Long = 0) {
    val held: Long get() = issued - returned
}
