/**
 * Keeps sessions of routers. A session that was not heard for its period expires, which ends its reservations.
 * Messages of a tick count before expiry, so a pause of this process alone expires no session that was heard.
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
        val heard = tick.messages.mapNotNullTo(linkedSetOf(), ::sessionOf)
            .fold(startWork(tables, tick, settings)) { work, session -> hear(work, session) }
        return expireDue(heard).toStep()
    }

    private fun sessionOf(message: DomainLedgerMessage): SessionId? =
        when (message) {
            is RequestsReceived -> message.session
            is SessionContactReceived -> message.session
            else -> null
        }

    private fun hear(work: LedgerWork, session: SessionId): LedgerWork {
        val tables = work.tables
        val isNew = session !in tables.sessions
        val heard = tables.copy(sessions = tables.sessions.put(session, work.now))
        return work.with(if (isNew) heard.withSessionDue(session, work.now + settings.sessionMillis) else heard)
    }

    private fun expireDue(work: LedgerWork): LedgerWork {
        val due = work.tables.sessionsDue.take(work.now)
        if (due.entries.isEmpty()) return work
        val taken = work.with(work.tables.copy(sessionsDue = due.rest))
        return due.entries.map { it.id }.distinct().fold(taken, ::expireOrWait)
    }

    private fun expireOrWait(work: LedgerWork, session: SessionId): LedgerWork {
        val heardAt = work.tables.sessions[session] ?: return work
        val end = heardAt + settings.sessionMillis
        return if (end <= work.now) {
            expireSession(work, session)
        } else {
            work.with(work.tables.withSessionDue(session, end))
        }
    }
}

internal fun DomainLedgerTables.withSessionDue(
    session: SessionId,
    due: Timestamp,
): DomainLedgerTables = copy(sessionsDue = sessionsDue.plus(due, session))
