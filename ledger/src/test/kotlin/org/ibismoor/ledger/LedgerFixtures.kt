/**
 * Identifiers and builders for the tests of this module.
 */
package org.ibismoor.ledger

import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.configuration.api.Budget
import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.TableDelta
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.GrantId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.AnswerBatch
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.IssueShares
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.Publish
import org.ibismoor.ledger.api.RequestsReceived
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.ShareIssue
import org.ibismoor.ledger.api.applyCommand
import org.ibismoor.ledger.api.createDomainLedger
import org.ibismoor.ledger.api.restoreDomainLedger

internal val budgetA = BudgetId("a")
internal val organisation = OrganisationId("org")
internal val norte1 = replica("norte-1", 1)
internal val norte2 = replica("norte-2", 1)
internal val sessionA = SessionId("s1")
internal val bodyA = BodyDigest("body")

internal fun replica(domain: String, epoch: Int) = ReplicaId(FailureDomainId(domain), epoch)

internal fun key(text: String) = RequestKey(organisation, text)

internal fun attempt(sequence: Long, session: SessionId = sessionA) = AttemptId(session, sequence)

internal fun reserve(
    sequence: Long,
    key: String,
    amount: Long,
    isClaim: Boolean = false,
    session: SessionId = sessionA,
) = Reserve(attempt(sequence, session), key(key), budgetA, amount, bodyA, isClaim)

internal fun publish(number: Long, base: Long, grants: Map<String, Long>, digest: String = "d$number") = Publish(
    ConfigurationDelta(
        base = ConfigurationNumber(base),
        number = ConfigurationNumber(number),
        budgets = TableDelta(
            mapOf(
                budgetA to Budget(
                    budgetA,
                    organisation,
                    persistentHashMapOf(*grants.map { GrantId(it.key) to it.value }.toTypedArray()),
                ),
            ),
        ),
    ),
    digest,
)

internal fun fleetWith(granted: Long, vararg issued: Pair<ReplicaId, Long>): FleetTables {
    val published = applyCommand(FleetTables(), publish(1, 0, mapOf("g1" to granted))).tables
    return applyCommand(published, IssueShares(issued.map { ShareIssue(budgetA, it.first, it.second) })).tables
}

/** Runs one domain ledger tick by tick and collects its effects and answers. */
internal class LedgerDriver(
    var tables: DomainLedgerTables,
    settings: DomainLedgerSettings = DomainLedgerSettings(),
) {
    private val machine = createDomainLedger(settings)
    private var batch = 0L
    var now = Timestamp(0)
    val effects = mutableListOf<DomainLedgerEffect>()

    constructor(fleet: FleetTables, replica: ReplicaId = norte1) :
        this(restoreDomainLedger(replica, emptyList(), fleet, Timestamp(0)))

    fun tick(vararg messages: DomainLedgerMessage): List<DomainLedgerEffect> {
        val step = machine.run(tables, Tick(now, WallTime(1_000_000_000_000 + now.millis), messages.toList()))
        tables = step.tables
        effects += step.effects
        return step.effects
    }

    fun advance(millis: Long): List<DomainLedgerEffect> {
        now += millis
        return tick()
    }

    fun submit(vararg requests: LedgerRequest): List<LedgerAnswer>? {
        batch += 1
        val id = batch
        val session = requests.first().attempt.session
        return tick(RequestsReceived(id, session, requests.toList()))
            .filterIsInstance<AnswerBatch>().firstOrNull { it.batch == id }?.answers
    }
}
