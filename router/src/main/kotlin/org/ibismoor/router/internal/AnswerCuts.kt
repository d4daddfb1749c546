/**
 * Logs and counts the answers that end before the caller has all of them. A refusal that reaches a caller without any
 * part of an answer is no cut; it is counted as a refusal.
 */
package org.ibismoor.router.internal

import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.RoutingEvent
import org.ibismoor.routing.api.StreamId
import org.ibismoor.runtime.api.PartLog
import org.ibismoor.transport.api.ConnectionCut

/**
 * [id] numbers the streams of the router since its start; it is not an idempotency key, which must not be logged.
 * [events] counts the parts of the answer that were passed on.
 */
internal data class AnswerCut(
    val id: StreamId,
    val cause: String,
    val detail: String,
    val upstream: UpstreamId?,
    val events: Long,
    val ageMillis: Long,
)

internal class AnswerCuts(
    private val log: PartLog,
    private val metrics: RouterMetrics,
    private val version: () -> ConfigurationNumber,
) {
    fun record(cut: AnswerCut) {
        metrics.count(RoutingEvent.CUT, cut.cause)
        log.warn(
            "answer_cut",
            "id" to cut.id.value,
            "cause" to cut.cause,
            "detail" to cut.detail,
            "upstream" to (cut.upstream ?: NONE),
            "events" to cut.events,
            "age_ms" to cut.ageMillis,
            "version" to version(),
        )
    }

    /** Records a connection that the server ended outside of a stream. */
    fun record(cut: ConnectionCut) {
        metrics.count(RoutingEvent.CUT, cut.code)
        log.warn("answer_cut", "id" to NONE, "cause" to cut.code, "version" to version())
    }

    companion object {
        /** The caller closed the connection. */
        const val CALLER_LEFT = "caller_left"

        /** Detail of a cut whose answer was complete, but not charged. */
        const val CHARGE = "charge"
        private const val NONE = "none"
    }
}
