/**
 * Records spending limits on the router's disk, on a thread of its own, since a write waits for the disk. The log holds
 * the limits of this session and of the latest earlier ones.
 */
package org.ibismoor.gateway.internal.router

import kotlinx.serialization.Serializable
import org.ibismoor.coordination.api.EndedSession
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.SessionId
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.SpendingRecordFailed
import org.ibismoor.forwarding.api.SpendingRecorded
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.storage.api.OpenedLog
import org.ibismoor.storage.api.RecordLog
import org.ibismoor.storage.api.RecordStore
import org.ibismoor.storage.api.StorageException
import java.util.concurrent.Executors

private const val LOG_NAME = "spending"
private const val THREAD_NAME = "spending"

/** The leader knows one of the latest sessions, also if some of them ended before their first report. */
private const val KEPT_SESSIONS = 8

/** Above this size the log is rewritten with one record for each session. */
private const val MAXIMUM_LOG_BYTES = 512 * 1024L

/** Spending limits of [session] that replace its earlier ones. */
@Serializable
internal data class SpendingRecord(val session: SessionId, val limits: Map<OrganisationId, Long>)

internal class SpendingLog private constructor(
    private val log: RecordLog,
    private val session: SessionId,
    /** Earlier sessions with their last limits. */
    val endedSessions: List<EndedSession>,
) {
    private val thread = Executors.newSingleThreadExecutor { Thread(it, THREAD_NAME).apply { isDaemon = true } }

    /** Confined to [thread]. */
    private var limits: Map<OrganisationId, Long> = emptyMap()

    /** Syncs [raised] and then posts the result. */
    fun record(raised: Map<OrganisationId, Long>, post: (ForwardingMessage) -> Unit) = thread.execute {
        try {
            limits = limits + raised
            write(raised)
            post(SpendingRecorded(raised))
        } catch (e: StorageException) {
            post(SpendingRecordFailed(e.message.orEmpty()))
        }
    }

    private fun write(raised: Map<OrganisationId, Long>) {
        val record = SpendingRecord(session, raised)
        if (log.sizeBytes > MAXIMUM_LOG_BYTES) rewrite() else log.append(listOf(encode(record)))
    }

    private fun rewrite() {
        val earlier = endedSessions.map { SpendingRecord(it.session, it.spendingLimits) }
        log.replace((earlier + SpendingRecord(session, limits)).map(::encode))
    }

    companion object {
        /**
         * Opens the log in [store] and adds [session] to it, so that a session without a record is known to have spent
         * without one. Throws `StorageException` if the disk refuses it.
         */
        fun open(store: RecordStore, session: SessionId): SpendingLog {
            val opened = store.open(LOG_NAME)
            try {
                return SpendingLog(opened.log, session, sessionsOf(opened)).also { it.rewrite() }
            } catch (e: StorageException) {
                opened.log.close()
                throw e
            }
        }
    }
}

private fun encode(record: SpendingRecord): String = InternalJson.encodeToString(record)

private fun sessionsOf(opened: OpenedLog): List<EndedSession> =
    opened.records.map { InternalJson.decodeFromString<SpendingRecord>(it) }
        .groupBy { it.session }
        .map { (session, records) -> EndedSession(session, records.map { it.limits }.reduce(::withLaterLimits)) }
        .takeLast(KEPT_SESSIONS)

private fun withLaterLimits(limits: Map<OrganisationId, Long>, later: Map<OrganisationId, Long>) = limits + later
