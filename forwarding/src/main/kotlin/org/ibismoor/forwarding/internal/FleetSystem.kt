/**
 * Applies the leader's answers: the newest configuration version, upstreams, routers and allowances. A router never
 * returns to an older upstream list.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.AllowanceUpdate
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.AllowanceRow
import org.ibismoor.forwarding.api.ControlHostsChanged
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.DrainStarted
import org.ibismoor.forwarding.api.FleetRow
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.UpstreamRow

private const val MAXIMUM_CONTROL_HOSTS = 16

/** Reports in a row that a leader may leave unanswered before its name is no longer followed; one can be lost. */
private const val MAXIMUM_LOST_REPORTS = 2

/** Delay before the report is sent to the leader that another control process has named. */
private const val LEADER_REDIRECT_MILLIS = 20L

/** Upper limit of the time after which an unanswered report counts as lost. */
private const val REPORT_TIMEOUT_MILLIS = 800L

internal class FleetSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is ReportAnswered -> applyAnswer(table, message, tick.now)
                is ReportLost -> handleLostReport(table, message, tick.now)
                is DrainStarted -> startDrain(table, tick.now)
                is ControlHostsChanged -> ForwardingStep(table.withSeedHosts(message.hosts))
                else -> ForwardingStep(table)
            }
        }

    private fun startDrain(tables: ForwardingTables, now: Timestamp): ForwardingStep =
        ForwardingStep(
            tables.copy(drainStartedAt = now, fleet = tables.fleet.copy(nextReportAt = now)),
            listOf(logDecision(DecisionKind.DRAIN_STARTED, null, "requests" to tables.requests.size)),
        )

    private fun handleLostReport(tables: ForwardingTables, message: ReportLost, now: Timestamp): ForwardingStep {
        val fleet = tables.fleet
        val host = fleet.controlHosts.first()
        val next = fleet.copy(
            controlHosts = fleet.controlHosts.drop(1) + host,
            lostReports = fleet.lostReports.put(host, (fleet.lostReports[host] ?: 0) + 1),
            isReporting = false,
            nextReportAt = now + settings.times.reportIntervalMillis / 2,
        )
        val age = fleet.leaderAnsweredAt?.let { now - it }
        val isFirstLoss = age != null && age < 2 * settings.times.reportIntervalMillis + REPORT_TIMEOUT_MILLIS
        val status = tables.configurationStatus.let {
            it.copy(lostReports = it.lostReports + 1, lastLoss = message.cause)
        }
        val decision = logDecision(
            DecisionKind.CONTROL_LOST,
            null,
            "host" to host,
            "age_ms" to age,
            "cause" to message.cause,
        )
        val nextTables = tables.copy(fleet = next, configurationStatus = status)
        return ForwardingStep(nextTables, listOf(decision).filter { isFirstLoss })
    }

    private fun applyAnswer(tables: ForwardingTables, message: ReportAnswered, now: Timestamp): ForwardingStep {
        val answer = message.answer
        val next = withReplicas(tables, answer)
        return applyEvacuations(next, answer, settings, now).then {
            when {
                answer.isLeading -> applyLeaderAnswer(it, message, now)
                else -> ForwardingStep(withLeaderFirst(it, answer, now))
            }
        }
    }

    /**
     * Adds control processes that have joined since the settings were written, so that reports can reach them. Only the
     * leader knows which ones have left.
     */
    private fun withReplicas(tables: ForwardingTables, answer: ReportAnswer): ForwardingTables {
        val replicas = answer.replicas.map(::hostOf)
        val fleet = tables.fleet.withControlHosts(replicas)
        val isComplete = answer.isLeading && replicas.isNotEmpty()
        val next = if (isComplete) fleet.withoutFormerHosts(replicas) else fleet
        val lostReports = fleet.lostReports.remove(tables.fleet.controlHosts.first())
        return tables.copy(fleet = next.copy(isReporting = false, lostReports = lostReports))
    }

    /** A leader that answers no reports may have ended unnoticed by who names it, so other hosts are asked first. */
    private fun withLeaderFirst(tables: ForwardingTables, answer: ReportAnswer, now: Timestamp): ForwardingTables {
        val fleet = tables.fleet
        val leader = answer.leader?.let(::hostOf)
            ?.takeIf { (fleet.lostReports[it] ?: 0) < MAXIMUM_LOST_REPORTS }
        val current = fleet.controlHosts
        val hosts = leader?.let { listOf(it) + (current - it) } ?: (current.drop(1) + current[0])
        val pause = if (leader == null) settings.times.reportIntervalMillis / 2 else LEADER_REDIRECT_MILLIS
        return tables.copy(fleet = fleet.copy(controlHosts = hosts, nextReportAt = now + pause))
    }

    private fun applyLeaderAnswer(tables: ForwardingTables, message: ReportAnswered, now: Timestamp): ForwardingStep {
        val answer = message.answer
        val contactAge = tables.fleet.leaderAnsweredAt?.let { now - it }
        val lossMillis = REPORT_TIMEOUT_MILLIS + 2 * settings.times.reportIntervalMillis
        val isRegained = contactAge != null && contactAge > lossMillis
        val regainedDecision = logDecision(DecisionKind.CONTROL_REGAINED, null, "silent_ms" to contactAge)
        val fleet = tables.fleet.copy(
            routers = answer.routers ?: tables.fleet.routers,
            leaderAnsweredAt = now,
            nextReportAt = now + settings.times.reportIntervalMillis,
        )
        return ForwardingStep(tables.copy(fleet = fleet), listOf(regainedDecision).filter { isRegained })
            .then { applyConfiguration(it, message.configuration, now) }
            .then { ForwardingStep(it.withNewestVersion(answer.configurationVersion)) }
            .then { applyUpstreamList(it, answer.upstreams, now) }
            .then { ForwardingStep(answer.allowances.fold(it) { table, row -> table.withAllowanceUpdate(row, now) }) }
            .then { ForwardingStep(it.withReportForShortfall(settings.times.allowanceRequestIntervalMillis)) }
    }
}

private fun ForwardingTables.withSeedHosts(hosts: List<String>): ForwardingTables =
    copy(fleet = fleet.copy(seedHosts = hosts).withControlHosts(hosts))

/** Above the limit, the hosts that are neither new nor in the settings make room. */
private fun FleetRow.withControlHosts(hosts: List<String>): FleetRow {
    val known = (controlHosts + hosts).distinct()
    val needed = (hosts + seedHosts).toSet()
    val others = known.filter { it !in needed }.take((MAXIMUM_CONTROL_HOSTS - needed.size).coerceAtLeast(0)).toSet()
    return copy(controlHosts = known.filter { it in needed || it in others })
}

private fun FleetRow.withoutFormerHosts(replicas: List<String>): FleetRow =
    copy(controlHosts = controlHosts.filter { it in replicas || it in seedHosts })

private fun applyUpstreamList(tables: ForwardingTables, list: UpstreamList?, now: Timestamp): ForwardingStep {
    if (list == null || list.revision <= tables.fleet.upstreamRevision) return ForwardingStep(tables)
    val rows = list.upstreams.associate { entry ->
        val row = tables.upstreams[entry.id]?.takeIf { isSameIncarnation(it.entry, entry) }
        entry.id to (row?.withEntry(entry, now) ?: UpstreamRow(entry, sentParts = persistentHashMapOf()))
    }
    val decision = logDecision(
        DecisionKind.UPSTREAMS_LISTED,
        null,
        "revision" to list.revision,
        "upstreams" to rows.size,
        "leaving" to list.upstreams.count { it.isLeaving },
        "mixed_groups" to list.mixedGroups.joinToString(","),
        "at_ms" to now.millis,
    )
    return ForwardingStep(
        tables.copy(
            upstreams = rows.toPersistentHashMap(),
            fleet = tables.fleet.copy(upstreamRevision = list.revision),
            streams = tables.streams.withMixedGroups(list.mixedGroups),
        ),
        listOf(decision),
    )
}

private fun UpstreamRow.withEntry(next: UpstreamEntry, now: Timestamp): UpstreamRow {
    val isNewlyLeaving = next.isLeaving && !entry.isLeaving
    val since = if (isNewlyLeaving) now else availability.listedLeavingSince
    return copy(entry = next, availability = availability.copy(listedLeavingSince = since))
}

/**
 * An upstream that was listed as leaving and no longer is, or has another software version, has been started again
 * under its identifier.
 */
private fun isSameIncarnation(previous: UpstreamEntry, entry: UpstreamEntry): Boolean =
    previous.address == entry.address && previous.version == entry.version && (entry.isLeaving || !previous.isLeaving)

/** A report in flight does not include later shortfalls, so the next report follows after a short interval. */
private fun ForwardingTables.withReportForShortfall(intervalMillis: Long): ForwardingTables {
    val hasShortfall = allowances.values.any { it.shortfall > 0 }
    return if (hasShortfall) copy(fleet = fleet.copy(nextReportAt = fleet.lastReportAt + intervalMillis)) else this
}

private fun ForwardingTables.withAllowanceUpdate(update: AllowanceUpdate, now: Timestamp): ForwardingTables {
    val row = allowances[update.organisation] ?: AllowanceRow()
    val next = row.copy(
        issued = maxOf(row.issued, update.issued),
        evenDemandPerSecond = update.evenDemandPerSecond,
        horizonMillis = update.horizonMillis,
        advanceLimit = update.advanceLimit,
        unissued = update.unissued,
        unspent = update.unspent,
        updatedAt = now,
    )
    return copy(allowances = allowances.put(update.organisation, next))
}
