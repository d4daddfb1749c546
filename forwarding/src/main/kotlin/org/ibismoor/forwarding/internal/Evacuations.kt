/**
 * Keeps the newest list of evacuated failure domains, from the leader or from any other replica: a router that is cut
 * off from the leader follows the orders too. An answer of a replica that lags changes nothing.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.coordination.api.EvacuationList
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.pacing.api.PaceEvent

internal fun applyEvacuations(
    tables: ForwardingTables,
    answer: ReportAnswer,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep {
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
    val ended = current?.domains.orEmpty() - received.domains.toSet()
    return ForwardingStep(
        tables.copy(fleet = tables.fleet.copy(evacuations = received)),
        listOf(decision).filter { received.domains != current?.domains.orEmpty() },
    ).then { returnDomains(it, ended, settings, now) }
}

/** Upstreams that return from an evacuation may be cold, and the list says so only with a delay. */
private fun returnDomains(
    tables: ForwardingTables,
    domains: List<FailureDomainId>,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep =
    foldSteps(tables, tables.upstreams.values.filter { it.entry.domain in domains }) { table, row ->
        val coldMillis = table.configuration?.groups?.get(row.entry.group)?.cold?.startMillis ?: 0
        table.withPaceEvent(row.entry.id, PaceEvent.Returned(coldMillis), settings, now)
    }
