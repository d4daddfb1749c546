/**
 * Answers of a replica that does not lead or has lost its leadership.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.AnswerEvacuation
import org.ibismoor.coordination.api.AnswerPublication
import org.ibismoor.coordination.api.AnswerRead
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.AskLeader
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.OperatorAnswer
import org.ibismoor.coordination.api.PendingEvacuation
import org.ibismoor.coordination.api.PendingExchange
import org.ibismoor.coordination.api.PendingPublication
import org.ibismoor.coordination.api.PendingRead
import org.ibismoor.coordination.api.PendingReport
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.Unconfirmed
import org.ibismoor.core.api.ReplicaId

/** The leader according to this replica; null if unknown or if it is this replica. */
internal fun CoordinationTables.otherLeader(): ReplicaId? =
    (consensus.status().leader ?: join.leader).takeIf { it != replica }

internal fun CoordinationTables.replicas(): List<ReplicaId> = consensus.status().members.map { it.replica }

/** Routers that cannot reach the leader follow the orders that other replicas have applied; an observer has no log. */
internal fun notLeadingAnswer(tables: CoordinationTables): ReportAnswer =
    ReportAnswer(
        isLeading = false,
        leader = tables.otherLeader(),
        replicas = tables.replicas(),
        evacuations = evacuationList(tables.state).takeUnless { tables.isObserver },
    )

/** Refers an operator's call to the leader, or leaves its result open without one. */
internal fun redirectAnswer(tables: CoordinationTables): OperatorAnswer =
    tables.otherLeader()?.let(::AskLeader) ?: Unconfirmed

internal fun unconfirmedAnswer(tables: CoordinationTables, exchange: PendingExchange): CoordinationEffect =
    when (exchange) {
        is PendingReport -> AnswerReport(exchange.reply, notLeadingAnswer(tables))
        is PendingPublication -> AnswerPublication(exchange.reply, Unconfirmed)
        is PendingEvacuation -> AnswerEvacuation(exchange.reply, Unconfirmed)
    }

internal fun unconfirmedReadAnswer(read: PendingRead): CoordinationEffect = AnswerRead(read.reply, Unconfirmed)
