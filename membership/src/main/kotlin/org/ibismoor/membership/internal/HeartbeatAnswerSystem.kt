/**
 * Answers heartbeats with the changes since the versions in the heartbeat.
 */
package org.ibismoor.membership.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.membership.api.AnswerHeartbeat
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.HeartbeatAnswer
import org.ibismoor.membership.api.HeartbeatReceived
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipTables
import org.ibismoor.membership.api.RenewRouterSession
import org.ibismoor.membership.api.RouterRow
import org.ibismoor.membership.api.UpstreamReport

internal class HeartbeatAnswerSystem : MembershipSystem {
    override fun run(tables: MembershipTables, tick: Tick<MembershipMessage>): MembershipStep {
        val effects = tick.messages.filterIsInstance<HeartbeatReceived>().flatMap { message ->
            val answer = answer(tables, message.heartbeat, tick.now, tick.wallTime)
            listOf(RenewRouterSession(message.heartbeat.router.session), AnswerHeartbeat(message.reply, answer))
        }
        return Step(tables, effects)
    }

    private fun answer(tables: MembershipTables, heartbeat: Heartbeat, now: Timestamp, wallTime: WallTime) =
        HeartbeatAnswer(
            keyPrefix = "${tables.replica}.${wallTime.epochMillis / MILLIS_PER_MINUTE}~",
            configuration = tables.configurationChangeFrom(heartbeat.configuration),
            routerListVersion = tables.routerListVersion,
            routers = tables.routerList().takeIf { heartbeat.routerListVersion != tables.routerListVersion },
            reportVersion = tables.reportVersion,
            reports = changedReports(tables, heartbeat.reportVersion, now),
            isLeaving = isLeaving(tables, heartbeat.router),
        )

    private fun changedReports(tables: MembershipTables, version: Long, now: Timestamp): List<UpstreamReport>? {
        // a version that another control process or run has issued is unknown here: send all reports
        val isOwnVersion = version in tables.firstVersion..tables.reportVersion
        val since = if (isOwnVersion) version else tables.firstVersion
        return if (since == tables.reportVersion) {
            null
        } else {
            tables.upstreams.filterValues { it.version > since }.map { (id, entry) -> forwardedReport(id, entry, now) }
        }
    }

    private fun isLeaving(tables: MembershipTables, router: RouterRow): Boolean =
        router.id.text in tables.leavingNames || router.baseUrl in tables.leavingNames

    private companion object {
        const val MILLIS_PER_MINUTE = 60_000L
    }
}

private fun MembershipTables.routerList(): List<RouterRow> = routers.values.map { it.row }.sortedBy { it.id.text }
