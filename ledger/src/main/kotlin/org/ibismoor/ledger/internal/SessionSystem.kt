/**
 * Tracks router sessions. A session expires after a time without contact, which ends its reservations. The messages of
 * a tick are handled before expiry, so a pause of this process does not expire a session whose messages are waiting.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.RequestsReceived
import org.ibismoor.ledger.api.SessionContactReceived

internal class SessionSystem(private val settings: DomainLedgerSettings) :
    TickSystem<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    override fun run(
        tables: DomainLedgerTables,
        tick: Tick<DomainLedgerMessage>,
    ): Step<DomainLedgerTables, DomainLedgerEffect> {
        val refreshed = tick.messages.mapNotNullTo(linkedSetOf(), ::sessionOf)
            .fold(startWork(tables, tick, settings)) { work, session -> refreshSession(work, session) }
        return expireDue(refreshed).toStep()
    }

    private fun sessionOf(message: DomainLedgerMessage): SessionId? =
        when (message) {
            is RequestsReceived -> message.session
            is SessionContactReceived -> message.session
            else -> null
        }

    private fun refreshSession(work: LedgerWork, session: SessionId): LedgerWork {
        val tables = work.tables
        val isNew = session !in tables.sessions
        val next = tables.copy(sessions = tables.sessions.put(session, work.now))
        val timeout = work.now + settings.sessionTimeoutMillis
        return work.withTables(if (isNew) next.withSessionDue(session, timeout) else next)
    }

    private fun expireDue(work: LedgerWork): LedgerWork {
        val due = work.tables.sessionsDue.take(work.now)
        if (due.entries.isEmpty()) return work
        val next = work.withTables(work.tables.copy(sessionsDue = due.rest))
        return due.entries.map { it.id }.distinct().fold(next, ::expireOrReschedule)
    }

    private fun expireOrReschedule(work: LedgerWork, session: SessionId): LedgerWork {
        val lastContact = work.tables.sessions[session] ?: return work
        val end = lastContact + settings.sessionTimeoutMillis
        return if (end <= work.now) {
            expireSession(work, session)
        } else {
            work.withTables(work.tables.withSessionDue(session, end))
        }
    }
}

internal fun DomainLedgerTables.withSessionDue(
    session: SessionId,
    due: Timestamp,
): DomainLedgerTables = copy(sessionsDue = sessionsDue.plus(due, session))
