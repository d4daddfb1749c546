/**
 * State machine of a router's decisions. Its systems run in the order in which a request passes through them.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.ForwardingEffect
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.UpstreamSelection

internal class ForwardingMachine(settings: ForwardingSettings, selection: UpstreamSelection) :
    TickMachine<ForwardingTables, ForwardingMessage, ForwardingEffect> {
    private val schedule = SystemSchedule(
        listOf(
            FleetSystem(settings),
            PlacementSystem(settings),
            ContactSystem(settings),
            ConfigurationSystem(settings),
            PaceSystem(settings),
            ArrivalSystem(settings),
            StreamOriginSystem(settings),
            LoanSystem(settings),
            CrashEvidenceSystem(settings),
            RequestCrashSystem(),
            AvailabilitySystem(settings),
            SilentAttemptSystem(settings),
            WorkTimeSystem(),
            AttemptSystem(settings),
            AllowanceSystem(settings),
            RequestQuarantineSystem(settings),
            QuarantineSystem(settings),
            LoadNoticeSystem(settings),
            SelectionSystem(settings, selection),
            DeadlineSystem(settings),
            ReportSystem(settings),
        ),
    )

    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        schedule.run(tables, tick)

    override fun nextDue(tables: ForwardingTables): Timestamp? {
        val report = tables.fleet.nextReportAt.takeIf { !tables.fleet.isReporting }
        return listOfNotNull(
            tables.due.next,
            report,
            tables.fleet.loadNoticeDueAt,
            tables.nextFetchAt(),
            tables.nextResumptionAt,
            tables.roomCheckDueAt,
        ).minOrNull()
    }
}
