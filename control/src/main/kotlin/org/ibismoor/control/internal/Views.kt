/**
 * Converts the control tables to the views that operators read.
 */
package org.ibismoor.control.internal

import org.ibismoor.consensus.api.status
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.transport.api.BudgetView
import org.ibismoor.transport.api.ChargeView
import org.ibismoor.transport.api.ControlStatus
import org.ibismoor.transport.api.ControlUrl
import org.ibismoor.transport.api.DomainLedgerCounts
import org.ibismoor.transport.api.LedgerView
import org.ibismoor.transport.api.ShareView

internal fun statusOf(tables: ControlTables, addresses: PeerAddresses): ControlStatus {
    val consensus = tables.consensus.status()
    return ControlStatus(
        replica = tables.replica,
        role = consensus.role.name.lowercase(),
        leader = consensus.leader,
        hasQuorum = consensus.hasQuorum,
        term = consensus.term,
        commitIndex = consensus.commitIndex,
        snapshotIndex = consensus.snapshotIndex,
        members = consensus.members,
        controlUrls = addresses.otherUrls(tables).map { ControlUrl(it.key, it.value) }.sortedBy { it.replica },
        configuration = tables.fleet.configuration.number.value,
        inForce = tables.membership.inForce?.number?.value,
        inForceAtMillis = tables.membership.inForce?.at?.epochMillis,
        routers = tables.membership.routers.values.map { it.row }.sortedBy { it.id },
        upstreams = tables.membership.upstreams.values.mapNotNull { it.report }.sortedBy { it.upstream },
        leavingUpstreams = tables.membership.upstreams.filterValues { it.isLeaving }.keys.sorted(),
        domainLedger = countsOf(tables),
    )
}

private fun countsOf(tables: ControlTables): DomainLedgerCounts {
    val durable = tables.ledger.durable
    return DomainLedgerCounts(
        sessions = tables.ledger.sessions.size,
        reservations = durable.reservations.size,
        claims = durable.claims.size,
        unmerged = durable.lastChargeNumber - durable.mergedCharge,
    )
}

internal fun ledgerViewOf(tables: ControlTables, organisation: String?): LedgerView {
    val owners = tables.fleet.configuration.budgets.mapValues { it.value.organisation }
    val budgets = tables.fleet.budgets.entries.map { (id, row) -> budgetView(id, row, owners[id]) }
    val charges = chargesOf(tables)
    return LedgerView(
        replica = tables.replica,
        budgets = budgets.filter { organisation == null || it.organisation?.text == organisation }
            .sortedBy { it.budget },
        charges = charges.filter { organisation == null || it.charge.key.organisation.text == organisation }
            .sortedBy { it.charge.chargedAt },
    )
}

/** The merged charges, and this domain's charges that are not merged yet. Each request is listed once. */
private fun chargesOf(tables: ControlTables): List<ChargeView> {
    val merged = tables.fleet.charges
    val own = tables.ledger.durable.charges.filterKeys { it !in merged }.values
    return merged.values.map { ChargeView(it, isMerged = true) } + own.map { ChargeView(it.charge, isMerged = false) }
}

private fun budgetView(id: BudgetId, row: BudgetRow, owner: OrganisationId?): BudgetView =
    BudgetView(
        budget = id,
        organisation = owner,
        granted = row.granted,
        spent = row.shares.values.sumOf { it.spent },
        voided = row.shares.values.sumOf { it.voided },
        writtenOff = row.writtenOff,
        shares = row.shares.entries.map { ShareView(it.key, it.value) }.sortedBy { it.replica },
    )
