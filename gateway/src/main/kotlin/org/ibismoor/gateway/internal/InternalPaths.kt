/**
 * URL paths of requests between router and control processes.
 */
package org.ibismoor.gateway.internal

internal object InternalPaths {
    const val REPORT: String = "/internal/v1/report"
    const val CONFIGURATION: String = "/internal/v1/configuration"
    const val CONSENSUS: String = "/internal/v1/log"
    const val LOAN: String = "/internal/v1/loan"
    const val LOAD_NOTICE: String = "/internal/v1/use"
    const val CONTACT: String = "/internal/v1/contact"
    const val STREAM_ORIGINS: String = "/internal/v1/streams"
    const val JOIN: String = "/internal/v1/join"
    const val LEADER: String = "/internal/v1/leader"
    const val ANNOUNCEMENT: String = "/internal/v1/announcement"
}
