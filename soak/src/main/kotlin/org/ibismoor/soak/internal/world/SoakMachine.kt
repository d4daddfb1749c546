/**
 * The decisions of a soak: one schedule of systems that run over the tables at each tick.
 */
package org.ibismoor.soak.internal.world

import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.platform.api.PlatformDocuments
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.internal.FleetLayout
import org.ibismoor.soak.internal.controlName
import org.ibismoor.soak.internal.routerName
import org.ibismoor.soak.internal.schedule.FaultSchedule

internal typealias SoakStep = Step<SoakTables, SoakEffect>

internal typealias SoakSystem = TickSystem<SoakTables, SoakMessage, SoakEffect>

internal fun createSoakMachine(documents: PlatformDocuments): TickMachine<SoakTables, SoakMessage, SoakEffect> =
    SoakMachine(
        listOf(
            ProcessSystem(),
            FaultSystem(),
            OperatorSystem(documents),
            DirectorySystem(),
            AttemptArrivalSystem(),
            AttemptAnswerSystem(),
            UpstreamListSystem(documents),
            CallerSystem(),
            PhaseSystem(),
        ),
    )

/** Turns due work into messages, so that systems see both alike. */
private class SoakMachine(systems: List<SoakSystem>) : TickMachine<SoakTables, SoakMessage, SoakEffect> {
    private val systems = SystemSchedule(systems)

    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep {
        val due = tables.due.take(tick.now)
        val messages = due.entries.map { WorkDue(it.id) } + tick.messages
        return systems.run(tables.copy(due = due.rest), Tick(tick.now, tick.wallTime, messages))
    }

    override fun nextDue(tables: SoakTables): Timestamp? = tables.due.next
}

/** Runs [handle] for each message of the tick. */
internal inline fun forEachMessage(
    tables: SoakTables,
    tick: Tick<SoakMessage>,
    handle: (SoakTables, SoakMessage) -> SoakStep,
): SoakStep = foldSteps(tables, tick.messages) { current, message -> handle(current, message) }

/** [callers] are spread evenly over organisations and failure domains. */
internal fun initialSoak(layout: FleetLayout, schedule: FaultSchedule, callers: Int): SoakTables {
    val routers = layout.vms.associate { ProcessName(routerName(it)) to ProcessRow(it, isControl = false) }
    val controls = layout.controlVms.associate {
        ProcessName(controlName(it)) to ProcessRow(it, isControl = true)
    }
    return SoakTables(
        layout = layout,
        schedule = schedule,
        processes = (routers + controls).toPersistentHashMap(),
        directories = layout.domains.associateWith { DirectoryRow() }.toPersistentHashMap(),
        callers = (0 until callers).associateWith { createCaller(it, layout) }.toPersistentHashMap(),
        upstreams = layout.upstreams.associate { it.slot to startedUpstream(it, incarnation = 1) }
            .toPersistentHashMap(),
    )
}

private fun createCaller(number: Int, layout: FleetLayout): CallerRow {
    val organisation = ORGANISATIONS[number % ORGANISATIONS.size]
    val domain = layout.domains[number / ORGANISATIONS.size % layout.domains.size]
    return CallerRow(number, domain, organisation, keyOf(organisation))
}

internal val ORGANISATIONS = listOf("harbour", "quarry", "clinic", "visitors").map(::OrganisationId)

internal fun keyOf(organisation: OrganisationId): String = "key-of-$organisation"
