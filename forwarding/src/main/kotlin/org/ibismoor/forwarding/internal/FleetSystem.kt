/**
 * Takes in what the leader answers: configuration, upstreams, routers and allowances. A router never goes back to a
 * lower version or an older list.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.AllowanceUpdate
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AllowanceRow
import org.ibismoor.forwarding.api.ApplyConfiguration
import org.ibismoor.forwarding.api.ControlHostsChanged
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.DrainStarted
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.UpstreamRow

private const val MAXIMUM_HOSTS = 16
private const val LEADER_PAUSE_MILLIS = 20L

/** A report that is not answered for this long is lost. */
private const val REPORT_TIMEOUT_MILLIS = 800L

internal class FleetSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is ReportAnswered -> answered(table, message, tick.now)
                is ReportLost -> lost(table, tick.now)
                is DrainStarted -> drain(table, tick.now)
                is ControlHostsChanged -> ForwardingStep(table.knowing(message.hosts))
                else -> ForwardingStep(table)
            }
        }

    private fun drain(tables: ForwardingTables, now: Timestamp): ForwardingStep =
        ForwardingStep(
            tables.copy(isDraining = true, fleet = tables.fleet.copy(reportAt = now)),
            listOf(decided(DecisionKind.DRAIN_STARTED, null, "requests" to tables.requests.size)),
        )

    private fun lost(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        val fleet = tables.fleet
        val next = fleet.copy(
            hosts = fleet.hosts.drop(1) + fleet.hosts.take(1),
            isReporting = false,
            reportAt = now + settings.times.reportMillis / 2,
        )
        val age = fleet.answeredAt?.let { now - it }
        val isNew = age != null && age < 2 * settings.times.reportMillis + REPORT_TIMEOUT_MILLIS
        val decision = decided(DecisionKind.CONTROL_LOST, null, "host" to fleet.hosts.first(), "age_ms" to age)
        return ForwardingStep(tables.copy(fleet = next), listOf(decision).filter { isNew })
    }

    private fun answered(tables: ForwardingTables, message: ReportAnswered, now: Timestamp): ForwardingStep {
        val answer = message.answer
        val known = knowing(tables, answer)
        return when {
            answer.isLeading -> takeIn(known, message, now)
            else -> ForwardingStep(toLeader(known, answer, now))
        }
    }

    /** Control processes that have joined since the settings were written are asked too. */
    private fun knowing(tables: ForwardingTables, answer: ReportAnswer): ForwardingTables {
        val known = tables.knowing(answer.replicas.map(::hostOf))
        return known.copy(fleet = known.fleet.copy(isReporting = false))
    }

    private fun toLeader(tables: ForwardingTables, answer: ReportAnswer, now: Timestamp): ForwardingTables {
        val fleet = tables.fleet
        val leader = answer.leader?.let(::hostOf)
        val hosts = leader?.let { listOf(it) + (fleet.hosts - it) } ?: (fleet.hosts.drop(1) + fleet.hosts[0])
        val pause = if (leader == null) settings.times.reportMillis / 2 else LEADER_PAUSE_MILLIS
        return tables.copy(fleet = fleet.copy(hosts = hosts, reportAt = now + pause))
    }

    private fun takeIn(tables: ForwardingTables, message: ReportAnswered, now: Timestamp): ForwardingStep {
        val answer = message.answer
        val silence = tables.fleet.answeredAt?.let { now - it }
        val isRegained = silence != null && silence > REPORT_TIMEOUT_MILLIS + 2 * settings.times.reportMillis
        val regained = decided(DecisionKind.CONTROL_REGAINED, null, "silent_ms" to silence)
        val fleet = tables.fleet.copy(
            routers = answer.routers ?: tables.fleet.routers,
            answeredAt = now,
            reportAt = now + settings.times.reportMillis,
        )
        return ForwardingStep(tables.copy(fleet = fleet), listOf(regained).filter { isRegained })
            .then { configure(it, message.configuration) }
            .then { list(it, answer.upstreams, now) }
            .then { ForwardingStep(answer.allowances.fold(it) { table, grant -> granted(table, grant, now) }) }
            .then { ForwardingStep(it.askingAgain(settings.times.askMillis)) }
    }

    private fun configure(tables: ForwardingTables, configuration: ForwardingConfiguration?): ForwardingStep {
        val version = tables.configuration?.version ?: 0
        if (configuration == null || configuration.version <= version) return ForwardingStep(tables)
        val decision = decided(
            DecisionKind.CONFIGURATION_IN_FORCE,
            null,
            "version" to configuration.version,
            "before" to version,
            "routes" to configuration.routes.values.sumOf { it.size },
        )
        return ForwardingStep(
            tables.copy(configuration = configuration),
            listOf(ApplyConfiguration(configuration), decision),
        )
    }
}

private fun ForwardingTables.knowing(hosts: List<String>): ForwardingTables =
    copy(fleet = fleet.copy(hosts = (fleet.hosts + hosts).distinct().take(MAXIMUM_HOSTS)))

private fun list(tables: ForwardingTables, list: UpstreamList?, now: Timestamp): ForwardingStep {
    if (list == null || list.revision <= tables.fleet.upstreamRevision) return ForwardingStep(tables)
    val rows = list.upstreams.associate { entry ->
        val row = tables.upstreams[entry.id]?.takeIf { it.entry.address == entry.address }
        entry.id to (row?.copy(entry = entry) ?: UpstreamRow(entry, parts = persistentHashMapOf()))
    }
    val decision = decided(
        DecisionKind.UPSTREAMS_LISTED,
        null,
        "revision" to list.revision,
        "upstreams" to rows.size,
        "leaving" to list.upstreams.count { it.isLeaving },
        "at_ms" to now.millis,
    )
    return ForwardingStep(
        tables.copy(
            upstreams = rows.toPersistentHashMap(),
            fleet = tables.fleet.copy(upstreamRevision = list.revision),
        ),
        listOf(decision),
    )
}

/** Requests that began to lack tokens while a report was under way are not in it, so the next one follows soon. */
private fun ForwardingTables.askingAgain(askMillis: Long): ForwardingTables {
    val isAsking = allowances.values.any { it.missing > 0 }
    return if (isAsking) copy(fleet = fleet.copy(reportAt = fleet.reportedAt + askMillis)) else this
}

private fun granted(tables: ForwardingTables, grant: AllowanceUpdate, now: Timestamp): ForwardingTables {
    val row = tables.allowances[grant.organisation] ?: AllowanceRow()
    val next = row.copy(
        issued = maxOf(row.issued, grant.issued),
        evenDemandPerSecond = grant.evenDemandPerSecond,
        horizonMillis = grant.horizonMillis,
        unissued = grant.unissued,
        unspent = grant.unspent,
        toldAt = now,
    )
    return tables.copy(allowances = tables.allowances.put(grant.organisation, next))
}
