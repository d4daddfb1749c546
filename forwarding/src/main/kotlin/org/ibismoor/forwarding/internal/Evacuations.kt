/**
 * Keeps the newest list of evacuated failure domains, from the leader or from any other replica: a router that is cut
 * off from the leader follows the orders too. An answer of a replica that lags changes nothing.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.coordination.api.EvacuationList
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingTables

internal fun applyEvacuations(tables: ForwardingTables, answer: ReportAnswer): ForwardingStep {
    // A leader of an earlier release sends no list, since it follows no such orders.
    val received = answer.evacuations ?: EvacuationList().takeIf { answer.isLeading }
    val current = tables.fleet.evacuations
    val isNewer = received != null && (current == null || received.index > current.index)
    if (received == null || !isNewer) return ForwardingStep(tables)
    val decision = logDecision(
        DecisionKind.EVACUATIONS_CHANGED,
        null,
        "domains" to received.domains.joinToString(","),
        "before" to current?.domains.orEmpty().joinToString(","),
        "index" to received.index,
        "from_leader" to answer.isLeading,
        "upstreams" to tables.upstreams.values.count { it.entry.domain in received.domains },
    )
    return ForwardingStep(
        tables.copy(fleet = tables.fleet.copy(evacuations = received)),
        listOf(decision).filter { received.domains != current?.domains.orEmpty() },
    )
}
