/**
 * Simulates three domain ledgers, the share allocator of the first one, the replicated log and the network. Messages
 * take 1 ms to 5 ms of virtual time, may arrive in any order and may be lost.
 */
package org.ibismoor.ledger

import io.kotest.matchers.longs.shouldBeBetween
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.AnswerBatch
import org.ibismoor.ledger.api.CommandFinished
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.FleetAdvanced
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.FleetObserved
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.IssueTokens
import org.ibismoor.ledger.api.LeadershipChanged
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.MergeCharges
import org.ibismoor.ledger.api.NeedsReceived
import org.ibismoor.ledger.api.NotifySharesExhausted
import org.ibismoor.ledger.api.ProposeCommand
import org.ibismoor.ledger.api.ReachableChanged
import org.ibismoor.ledger.api.Refused
import org.ibismoor.ledger.api.RequestReturn
import org.ibismoor.ledger.api.RequestShares
import org.ibismoor.ledger.api.RequestsReceived
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved
import org.ibismoor.ledger.api.ReturnRequested
import org.ibismoor.ledger.api.Settle
import org.ibismoor.ledger.api.ShareEffect
import org.ibismoor.ledger.api.ShareMessage
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.SharesExhausted
import org.ibismoor.ledger.api.applyCommand
import org.ibismoor.ledger.api.createDomainLedger
import org.ibismoor.ledger.api.createShareAllocator
import org.ibismoor.ledger.api.restoreDomainLedger
import kotlin.random.Random

private val leader = norte1

internal class ShareWorld(
    seed: Int,
    policy: ShareSizingPolicy,
    granted: Long,
    private val lossPerMille: Int = 0,
) {
    val random = Random(seed)
    private var fleet = applyCommand(FleetTables(), publish(1, 0, mapOf("g1" to granted))).tables.copy(
        mergedSequences = FleetTables().mergedSequences.putAll(replicas.associateWith { 0L }),
    )
    val ledgers = replicas.associateWith { restoreDomainLedger(it, emptyList(), fleet, Timestamp(0)) }.toMutableMap()
    private val machine = createDomainLedger()
    private val allocator = createShareAllocator(policy)
    private var shares = ShareTables()
    private var now = Timestamp(0)
    private var sequence = 0L
    private val queue = mutableListOf<Pair<Timestamp, () -> Unit>>()
    private val openRequests = mutableListOf<Pair<ReplicaId, Reserve>>()
    val refusals = mutableListOf<RefusalReason>()
    var unreachable: Set<ReplicaId> = emptySet()
        set(value) {
            field = value
            runAllocator(ReachableChanged(replicas.toSet() - value))
        }

    val spent: Long get() = ledgers.values.sumOf { it.durable.budget(budgetA).spent }
    val issued: Long get() = fleet.budgets.getValue(budgetA).shares.values.sumOf { it.issued }

    init {
        runAllocator(LeadershipChanged(true), FleetObserved(fleet, listOf(budgetA)))
    }

    fun grant(total: Long) {
        val first = fleet.configuration.budgets.getValue(budgetA).granted
        commit(publish(2, 1, mapOf("g1" to first, "g2" to total - first)))
    }

    fun request(at: ReplicaId, amount: Long) {
        sequence++
        val session = SessionId(at.toString())
        val request = Reserve(attempt(sequence, session), key("k$sequence"), budgetA, amount, BodyDigest("b"), false)
        openRequests += at to request
        runLedger(at, RequestsReceived(sequence, session, listOf(request)))
    }

    fun settleSome() = settle(openRequests.filter { random.nextInt(4) == 0 }) { random.nextLong(0, it + 1) }

    fun settleAll() = settle(openRequests.toList()) { it }

    private fun settle(requests: List<Pair<ReplicaId, Reserve>>, amount: (Long) -> Long) {
        requests.filter { (at, request) -> request.key in ledgers.getValue(at).durable.reservations }.forEach {
            openRequests -= it
            val (at, request) = it
            sequence++
            val settle = Settle(request.attempt, request.key, amount(request.amount), 200)
            runLedger(at, RequestsReceived(sequence, request.attempt.session, listOf(settle)))
        }
    }

    fun advance(millis: Long) {
        val end = now + millis
        while (true) {
            val next = queue.minByOrNull { it.first }?.takeIf { it.first <= end } ?: break
            queue -= next
            now = maxOf(now, next.first)
            next.second()
        }
        now = end
        ledgers.keys.forEach { runLedger(it) }
        runAllocator()
    }

    /** Spent <= issued - returned <= granted. Uses the counters of the ledgers, which are always up to date. */
    fun checkInvariant() {
        val row = fleet.budgets.getValue(budgetA)
        spent shouldBeLessThanOrEqual row.shares.values.sumOf { it.issued - it.returned + it.voided }
        row.pool.shouldBeBetween(0, row.granted)
        ledgers.forEach { (id, tables) ->
            val own = tables.durable.budget(budgetA)
            own.spent + own.returned + own.reserved shouldBeLessThanOrEqual row.share(id).issued + row.share(id).voided
        }
    }

    private fun runLedger(at: ReplicaId, vararg messages: DomainLedgerMessage) {
        val step = machine.run(ledgers.getValue(at), tick(messages.toList()))
        ledgers[at] = step.tables
        step.effects.forEach { perform(at, it) }
    }

    private fun perform(at: ReplicaId, effect: DomainLedgerEffect) {
        when (effect) {
            is ProposeCommand -> send(at, leader) { commit(effect.command, at) }
            is RequestShares -> send(at, leader) { runAllocator(NeedsReceived(at, effect.needs)) }
            is AnswerBatch -> effect.answers.forEach(::recordAnswer)
            else -> Unit
        }
    }

    private fun recordAnswer(answer: LedgerAnswer) {
        if (answer is Refused) refusals += answer.reason
        if (answer !is Reserved) openRequests.removeAll { it.second.attempt == answer.attempt }
    }

    private fun runAllocator(vararg messages: ShareMessage) {
        val step = allocator.run(shares, tick(messages.toList()))
        shares = step.tables
        step.effects.forEach(::perform)
    }

    private fun perform(effect: ShareEffect) =
        when (effect) {
            is IssueTokens -> send(leader, leader) { commit(effect.command) }
            is RequestReturn -> send(leader, effect.replica) {
                runLedger(effect.replica, ReturnRequested(effect.budget, effect.amount, effect.urgent))
            }
            is NotifySharesExhausted -> send(leader, effect.replica) {
                runLedger(effect.replica, SharesExhausted(effect.exhausted))
            }
        }

    private fun commit(command: FleetCommand, from: ReplicaId? = null) {
        val step = applyCommand(fleet, command)
        fleet = step.tables
        runAllocator(FleetObserved(fleet, step.changed))
        val applied = fleet
        replicas.forEach { send(leader, it, isReliable = true) { advanceLedger(it, applied, step.changed) } }
        if (from != null && command is MergeCharges) {
            send(leader, from) { runLedger(from, CommandFinished(command, step.result)) }
        }
    }

    /** Entries are applied in their order, so an older state that arrives late is skipped. */
    private fun advanceLedger(at: ReplicaId, applied: FleetTables, changed: Set<BudgetId>) {
        val current = ledgers.getValue(at).fleet.budgets[budgetA]?.share(at)?.issued ?: 0
        val next = applied.budgets[budgetA]?.share(at)?.issued ?: 0
        if (next >= current) runLedger(at, FleetAdvanced(applied, changed))
    }

    private fun send(from: ReplicaId, to: ReplicaId, isReliable: Boolean = false, action: () -> Unit) {
        val isLost = !isReliable && random.nextInt(1_000) < lossPerMille
        if (from != to && isLost) return
        queue += now + random.nextLong(1, 6) to {
            if (from == to || (from !in unreachable && to !in unreachable)) action()
        }
    }

    private fun <M> tick(messages: List<M>) = Tick(now, WallTime(now.millis), messages)

    companion object {
        val replicas = listOf(norte1, norte2, replica("norte-3", 1))
    }
}
