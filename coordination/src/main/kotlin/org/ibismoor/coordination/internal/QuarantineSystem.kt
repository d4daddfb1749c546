/**
 * Decides which prompt parts are quarantined, from the evidence in the reports of all routers. A probe costs an engine
 * if the part is still fatal, so one router at a time may send one request, at intervals that double.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.EngineCrash
import org.ibismoor.coordination.api.NotifyPromptPart
import org.ibismoor.coordination.api.PartBelief
import org.ibismoor.coordination.api.ProbeRow
import org.ibismoor.coordination.api.PromptEvidence
import org.ibismoor.coordination.api.QuarantineRow
import org.ibismoor.coordination.api.QuarantineTables
import org.ibismoor.coordination.api.QuarantineUpdate
import org.ibismoor.coordination.api.QuarantinedPart
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.culprit
import org.ibismoor.coordination.api.firstCrashOf
import org.ibismoor.coordination.api.momentsOf
import org.ibismoor.coordination.api.neverBegunParts
import org.ibismoor.coordination.api.partsOfGroupFailures
import org.ibismoor.coordination.api.suspects
import org.ibismoor.coordination.api.withCleared
import org.ibismoor.coordination.api.withoutExpired
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp

private const val MAXIMUM_QUARANTINES = 64
private const val MAXIMUM_SUSPECTS = 64
private const val MAXIMUM_DOUBLINGS = 16

/** Ages in reports include the delay of the report, so the order of closer events is uncertain. */
private const val CLOCK_MARGIN_MILLIS = 1_000L

@Suppress("TooManyFunctions") // one function for each kind of evidence
internal class QuarantineSystem(private val settings: CoordinationSettings) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val reports = tick.messages.filterIsInstance<ReportReceived>().map { it.report }
        return when {
            tables.leadingSince == null -> CoordinationStep(tables.withQuarantine(QuarantineTables()))
            reports.isEmpty() -> CoordinationStep(tables)
            tables.quarantine.isEmpty && reports.all { it.prompts == null } -> CoordinationStep(tables)
            else -> processReports(tables, reports, tick.now)
        }
    }

    private fun processReports(
        tables: CoordinationTables,
        reports: List<RouterReport>,
        now: Timestamp,
    ): CoordinationStep {
        val before = tables.quarantine
        val updated = reports.fold(before.withoutExpired(now)) { table, report ->
            val withEvidence = report.prompts?.let { table.withReport(report.router, it, now) } ?: table
            withEvidence.withProbeTurn(report.router, now)
        }
        val explained = updated.copy(evidence = tables.requestQuarantine.explainCrashes(updated.evidence))
        val after = explained.withSuspects(now).withCulprit(now).withNeverBegun(now)
        return CoordinationStep(tables.withQuarantine(after), notifications(before, after))
    }

    private fun QuarantineTables.withReport(
        router: RouterId,
        report: PromptEvidence,
        now: Timestamp,
    ): QuarantineTables {
        val withHandedOver = report.quarantines.fold(this) { table, held -> table.withHandedOver(held, now) }
        val withCrashes = report.crashes.fold(withHandedOver) { table, crash -> table.withCrash(router, crash, now) }
        return report.begunParts.fold(withCrashes) { table, begun ->
            table.withBegun(begun.part, now + -begun.ageMillis, now)
        }
    }

    /** Takes over a quarantine of an earlier leader, unless an answer has begun on the part since. */
    private fun QuarantineTables.withHandedOver(held: QuarantinedPart, now: Timestamp): QuarantineTables {
        val isCleared = evidence.candidates[held.part]?.begunAt != null
        val isKnown = held.part in quarantines || quarantines.size >= MAXIMUM_QUARANTINES
        if (isCleared || isKnown) return this
        val row = QuarantineRow(since = now, until = now + held.remainingMillis, failedProbes = held.failedProbes)
        return copy(quarantines = quarantines.put(held.part, row))
    }

    private fun QuarantineTables.withCrash(router: RouterId, crash: EngineCrash, now: Timestamp): QuarantineTables {
        val at = now + -crash.ageMillis
        val next = copy(evidence = evidence.withCrash(router, crash, at))
        val culprits = crash.parts.keys.filter { it in quarantines }
        if (culprits.isEmpty()) return next
        val explained = next.copy(evidence = next.evidence.withExplainedCrash(crash.engine, at))
        return culprits.fold(explained) { table, part -> table.withFailedProbe(part, at, now) }
    }

    /** A crash before the probe was due comes from a request that had already been sent. */
    private fun QuarantineTables.withFailedProbe(part: String, at: Timestamp, now: Timestamp): QuarantineTables {
        val row = quarantines.getValue(part)
        if (at < row.until) return this
        val failedProbes = row.failedProbes + 1
        val until = now + quarantineMillis(failedProbes)
        val failedRow = QuarantineRow(since = at, until = until, failedProbes = failedProbes, moments = row.moments)
        return copy(quarantines = quarantines.put(part, failedRow))
    }

    private fun quarantineMillis(failedProbes: Int): Long =
        (settings.firstQuarantineMillis shl failedProbes.coerceAtMost(MAXIMUM_DOUBLINGS))
            .coerceAtMost(settings.maximumQuarantineMillis)

    private fun QuarantineTables.withBegun(part: String, at: Timestamp, now: Timestamp): QuarantineTables {
        val row = quarantines[part]
        val isSound = row != null && (row.isProvisional || at - row.since > CLOCK_MARGIN_MILLIS)
        return if (isSound) withReleased(setOf(part), now) else copy(evidence = evidence.withBegun(part, at))
    }

    /**
     * Records the parts as cleared [now], since routers that have not heard of the release still report the quarantine.
     */
    private fun QuarantineTables.withReleased(parts: Set<String>, now: Timestamp): QuarantineTables =
        copy(
            evidence = parts.fold(evidence) { table, part -> table.withCleared(part, now) },
            quarantines = quarantines.mutate { it.keys.removeAll(parts) },
        )

    private fun QuarantineTables.withProbeTurn(router: RouterId, now: Timestamp): QuarantineTables {
        val due = quarantines.filterValues { row ->
            val probe = row.probe
            row.until <= now && (probe == null || probe.until <= now && probe.router != router)
        }
        if (due.isEmpty()) return this
        val probe = ProbeRow(router, now + settings.probeTurnMillis)
        val next = quarantines.mutate { table -> due.forEach { (part, row) -> table[part] = row.copy(probe = probe) } }
        return copy(quarantines = next)
    }

    private fun QuarantineTables.withSuspects(now: Timestamp): QuarantineTables {
        val implicated = evidence.suspects() + evidence.partsOfGroupFailures()
        val parts = implicated.distinct().filter { it !in quarantines }.take(MAXIMUM_SUSPECTS)
        return copy(suspects = parts.associateWith { suspects[it] ?: now }.toPersistentHashMap())
    }

    private fun QuarantineTables.withCulprit(now: Timestamp): QuarantineTables =
        withQuarantined(listOfNotNull(evidence.culprit()), isProvisional = false, now)

    /** Answers may still begin on these parts once engines are back, so their first quarantine is shorter. */
    private fun QuarantineTables.withNeverBegun(now: Timestamp): QuarantineTables =
        withQuarantined(evidence.neverBegunParts(), isProvisional = true, now)

    /** Quarantines those of [parts] for which routers have had time to report answers that began on them. */
    private fun QuarantineTables.withQuarantined(
        parts: List<String>,
        isProvisional: Boolean,
        now: Timestamp,
    ): QuarantineTables {
        val duration = if (isProvisional) settings.provisionalQuarantineMillis else settings.firstQuarantineMillis
        val rows = parts.filter { part -> suspects[part]?.let { now - it >= settings.suspicionMillis } ?: false }
            .take(MAXIMUM_QUARANTINES - quarantines.size)
            .associateWith { part ->
                val since = evidence.firstCrashOf(part) ?: now
                val moments = evidence.momentsOf(part)
                QuarantineRow(since, until = now + duration, moments = moments, isProvisional = isProvisional)
            }
        if (rows.isEmpty()) return this
        val explained = rows.keys.fold(evidence) { table, part -> table.withCulprit(part) }
        return copy(quarantines = quarantines.putAll(rows), evidence = explained).withSuspects(now)
    }

    private fun QuarantineTables.withoutExpired(now: Timestamp): QuarantineTables {
        val idle = quarantines.filterValues { now - it.until > settings.idleQuarantineMillis }.keys
        val next = copy(evidence = evidence.withoutExpired(now))
        return if (idle.isEmpty()) next else next.withReleased(idle, now)
    }
}

private fun CoordinationTables.withQuarantine(next: QuarantineTables): CoordinationTables =
    if (quarantine == next) this else copy(quarantine = next)

private fun notifications(before: QuarantineTables, after: QuarantineTables): List<CoordinationEffect> {
    val suspected = after.suspects.keys - before.suspects.keys - before.quarantines.keys
    val changed = after.quarantines.filter { (part, row) -> before.quarantines[part]?.failedProbes != row.failedProbes }
    val released = before.quarantines.keys - after.quarantines.keys
    return suspected.map { NotifyPromptPart(it, PartBelief.SUSPECTED, after.evidence.momentsOf(it), 0) } +
        changed.map { (part, row) ->
            NotifyPromptPart(part, PartBelief.QUARANTINED, row.moments, row.failedProbes)
        } +
        released.map { NotifyPromptPart(it, PartBelief.RELEASED, 0, before.quarantines.getValue(it).failedProbes) }
}

/** The decisions on prompt parts for a router; null if there are none and the router knows of none. */
internal fun CoordinationTables.quarantineUpdate(report: RouterReport): QuarantineUpdate? {
    val isUnneeded = quarantine.suspects.isEmpty() && quarantine.quarantines.isEmpty() && report.prompts == null
    if (isUnneeded) return null
    val quarantines = quarantine.quarantines.map { (part, row) ->
        val remaining = (row.until - consensus.now).coerceAtLeast(0)
        QuarantinedPart(part, remaining, row.failedProbes, isProbeAllowed = row.probe?.router == report.router)
    }
    return QuarantineUpdate(quarantine.suspects.keys.sorted(), quarantines)
}
