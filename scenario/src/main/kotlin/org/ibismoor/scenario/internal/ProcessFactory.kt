/**
 * Starts the processes of a scenario: a control process from the records on its disk, a router without stored state.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.initialRecords
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.fleet.api.ControlLogs
import org.ibismoor.fleet.api.ControlStart
import org.ibismoor.fleet.api.restoreControl
import org.ibismoor.ledger.api.ChargeRecord
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.ledger.api.ReservationRecord
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.createRouting
import org.ibismoor.routing.api.initialRoutingTables
import org.ibismoor.scenario.api.Defect
import org.ibismoor.scenario.api.Scenario

/** Members of the quorum at the start of [scenario]: one replica for each failure domain, under epoch 1. */
internal fun initialMembers(scenario: Scenario): List<ReplicaId> = scenario.domains.map { ReplicaId(it, 1) }

internal class ProcessFactory(private val scenario: Scenario) {
    private val domains = scenario.domains
    private val seed = scenario.seed
    private val codec = JsonCodec()
    private val initialRecordCount = initialRecords(initialMembers(scenario)).size
    private val routing = domains.associateWith { createRouting(settings(it)) }

    fun machine(host: RouterHost): TickMachine<RoutingTables, RoutingMessage, RoutingEffect> =
        routing.getValue(host.domain)

    fun startReplica(host: ReplicaHost, now: Timestamp): ReplicaHost {
        val logs = ControlLogs(consensusRecords(host), ledgerRecords(host))
        val start = ControlStart(host.clock.localTime(now), seed + host.replica.hashCode() + now.millis)
        return host.copy(
            tables = restoreControl(host.replica, logs, codec, scenario.control, start),
            isFrozen = false,
            nextRunAt = now,
        )
    }

    /** A stale log keeps at least the initial records: they hold the members, without which no leader is elected. */
    private fun consensusRecords(host: ReplicaHost): List<ConsensusRecord> =
        when (Defect.STALE_CONSENSUS_LOG) {
            in scenario.defects -> host.consensusLog.take(maxOf(initialRecordCount, host.consensusLog.size / 2))
            else -> host.consensusLog
        }

    private fun ledgerRecords(host: ReplicaHost): List<DomainRecord> =
        when (Defect.FORGOTTEN_CHARGES) {
            in scenario.defects -> withoutCharges(host.ledgerLog)
            else -> host.ledgerLog
        }

    /** Also drops the reservation of a forgotten charge, or the tokens would stay reserved for its running router. */
    private fun withoutCharges(records: List<DomainRecord>): List<DomainRecord> {
        val charged = records.filterIsInstance<ChargeRecord>().map { it.charge.key }.toSet()
        return records.filterNot { it is ChargeRecord || it is ReservationRecord && it.key in charged }
    }

    fun startRouter(host: RouterHost, now: Timestamp): RouterHost {
        val next = RouterHost(host.id, host.domain, host.number, host.startCount + 1, clock = host.clock)
        val time = next.clock.localTime(now)
        val tables = initialRoutingTables(settings(host.domain), next.session, seed + host.number, time)
        return next.copy(tables = tables, nextRunAt = now)
    }

    private fun settings(domain: FailureDomainId): RoutingSettings =
        RoutingSettings(ownDomain = domain, controlDomains = domains)
}
