/**
 * Sends the needs that the systems before it queued to the leader in one effect.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.RequestShares

internal class ShareRequestSystem : TickSystem<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    override fun run(
        tables: DomainLedgerTables,
        tick: Tick<DomainLedgerMessage>,
    ): Step<DomainLedgerTables, DomainLedgerEffect> {
        val needs = tables.needs.values.sortedBy { it.budget }
        val sent = tables.copy(needs = persistentHashMapOf())
        return if (needs.isEmpty()) Step(tables) else Step(sent, listOf(RequestShares(needs)))
    }
}
