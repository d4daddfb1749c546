/**
 * Decides which requests are quarantined, from the evidence in the reports of all routers. After two crashes a request
 * is refused for a short time; after three, for long, and then one router at a time may send it as a probe.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.mutate
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.LoggedRequestQuarantine
import org.ibismoor.coordination.api.MoveAllowances
import org.ibismoor.coordination.api.NotifyRequestQuarantine
import org.ibismoor.coordination.api.ProbeRow
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.RequestBelief
import org.ibismoor.coordination.api.RequestQuarantineTables
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.isProbeNeeded
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp

/** Limit of lines in the log for each tick; a loss of power makes every request in flight a suspect. */
private const val MAXIMUM_NOTICES = 16

internal class RequestQuarantineSystem(
    private val codec: CoordinationCodec,
    private val settings: CoordinationSettings,
) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep =
        when {
            tables.leadingSince != null -> runLeader(tables, tick)
            tables.requestQuarantine == RequestQuarantineTables() -> CoordinationStep(tables)
            else -> CoordinationStep(tables.copy(requestQuarantine = RequestQuarantineTables()))
        }

    private fun runLeader(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val restored = tables.withRestoredQuarantines()
        val reports = tick.messages.filterIsInstance<ReportReceived>().map { it.report }
        val before = tables.requestQuarantine
        val isUnchanged = restored.requestQuarantine.isEmpty && reports.all { it.requests == null }
        val after = if (isUnchanged) restored.requestQuarantine else processReports(restored, reports, tick.now)
        val next = if (after == before) tables else tables.copy(requestQuarantine = after)
        // Without messages, the proposal of an earlier pass of this tick may have been refused.
        val logged = if (tick.messages.isEmpty()) next else proposeChanges(next)
        return CoordinationStep(logged, notifications(before, after))
    }

    private fun processReports(
        tables: CoordinationTables,
        reports: List<RouterReport>,
        now: Timestamp,
    ): RequestQuarantineTables =
        reports.fold(tables.requestQuarantine.withoutExpired(now)) { table, report ->
            val withEvidence = report.requests?.let { table.withReport(it, now) } ?: table
            withEvidence.withProbeTurn(report.router, now)
        }

    private fun RequestQuarantineTables.withProbeTurn(router: RouterId, now: Timestamp): RequestQuarantineTables {
        val due = quarantines.filterValues { row ->
            val probe = row.probe
            val isDue = isProbeNeeded(row.crashes) && row.until <= now
            isDue && (probe == null || probe.until <= now && probe.router != router)
        }
        if (due.isEmpty()) return this
        val probe = ProbeRow(router, now + settings.probeTurnMillis)
        val next = quarantines.mutate { table -> due.forEach { (id, row) -> table[id] = row.copy(probe = probe) } }
        return copy(quarantines = next)
    }

    /** Brings the replicated state up to date, one proposal at a time. */
    private fun proposeChanges(tables: CoordinationTables): CoordinationTables {
        val table = tables.requestQuarantine
        val isPending = table.proposal?.let { it in tables.proposals } ?: false
        val changes = if (table.isRestored && !isPending) changedQuarantines(tables) else emptyList()
        if (changes.isEmpty()) return tables
        val command = codec.writeCommand(MoveAllowances(emptyList(), emptyList(), changes))
        val next = tables.copy(requestQuarantine = table.copy(proposal = tables.nextNumber))
        return proposeCommand(next, command, emptyList())
    }

    private fun changedQuarantines(tables: CoordinationTables): List<LoggedRequestQuarantine> {
        val wanted = tables.requestQuarantine.quarantines
        val logged = tables.state.requestQuarantines
        val ended = logged.keys.filter { it !in wanted }.map { LoggedRequestQuarantine(it, crashes = 0) }
        return ended + wanted.filter { (digest, row) -> logged[digest] != row.crashes }
            .map { (digest, row) -> LoggedRequestQuarantine(digest, row.crashes) }
    }
}

private fun notifications(
    before: RequestQuarantineTables,
    after: RequestQuarantineTables,
): List<CoordinationEffect> {
    if (before === after) return emptyList()
    val suspected = after.evidence.requests.keys.filter { isNewSuspect(it, before, after) }.take(MAXIMUM_NOTICES)
    val changed = after.quarantines.filter { (digest, row) -> before.quarantines[digest]?.crashes != row.crashes }
    val released = before.quarantines.filterKeys { it !in after.quarantines }
    return suspected.map { NotifyRequestQuarantine(it, RequestBelief.SUSPECTED, after.evidence.countOf(it)) } +
        changed.map { (digest, row) -> NotifyRequestQuarantine(digest, RequestBelief.QUARANTINED, row.crashes) } +
        released.map { (digest, row) -> NotifyRequestQuarantine(digest, RequestBelief.RELEASED, row.crashes) }
}

private fun isNewSuspect(
    digest: RequestDigest,
    before: RequestQuarantineTables,
    after: RequestQuarantineTables,
): Boolean = digest !in after.quarantines && !before.hasCrashes(digest) && after.hasCrashes(digest)

private fun RequestQuarantineTables.hasCrashes(digest: RequestDigest): Boolean =
    evidence.requests[digest]?.crashes?.isNotEmpty() ?: false
