/**
 * Paths between the fleet's own processes.
 */
package org.ibismoor.gateway.internal

internal object InternalPaths {
    const val REPORT: String = "/internal/v1/report"
    const val CONSENSUS: String = "/internal/v1/log"
    const val LOAN: String = "/internal/v1/loan"
    const val USE: String = "/internal/v1/use"
    const val JOIN: String = "/internal/v1/join"
}
