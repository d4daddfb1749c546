/**
 * A router that spends and returns random parts of its allowance and can be restarted with a new session.
 */
package org.ibismoor.coordination

import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId

internal val ORGANISATION = OrganisationId("council")

private const val MEAN_REPORT_MILLIS = 100
private const val MAXIMUM_TOKENS_PER_STEP = 40L

internal class SimulatedRouter(private val name: String, private val isIdle: Boolean = false) {
    private var session = 0
    private var issued = 0L
    private var returned = 0L
    private var spent = 0L
    private var leader: String? = null

    /** Tokens spent by all sessions. */
    var totalSpent = 0L
        private set
    var pendingReply = 0L

    /** The last answer of a replica that took itself for the leader. */
    var leaderAnswer: ReportAnswer? = null

    fun restart() {
        session++
        issued = 0
        returned = 0
        spent = 0
        pendingReply = 0
    }

    fun report(): RouterReport =
        RouterReport(
            router = RouterId(name),
            session = SessionId("$name-$session"),
            entry = RouterEntry("$name:80", FailureDomainId("one")),
            state = RouterState.READY,
            configurationVersion = 0,
            upstreamRevision = 0,
            requestsPerSecond = 0.0,
            usage = if (isIdle) emptyList() else listOf(usage()),
        )

    private fun usage() = AllowanceUsage(ORGANISATION, returned, spent, 0.0, wanted = 100, needed = 40)

    fun tick(fleet: SimulatedFleet) {
        if (fleet.random.nextInt(MEAN_REPORT_MILLIS) > 0) return
        spend(fleet.random.nextLong(MAXIMUM_TOKENS_PER_STEP))
        returnTokens(fleet.random.nextLong(MAXIMUM_TOKENS_PER_STEP))
        fleet.report(leader ?: HOSTS[fleet.random.nextInt(HOSTS.size)], this)
        leader = null
    }

    private fun spend(tokens: Long) {
        if (issued - returned - spent < tokens) return
        spent += tokens
        totalSpent += tokens
    }

    private fun returnTokens(tokens: Long) {
        if (issued - returned - spent >= tokens) returned += tokens
    }

    fun receiveAnswer(answer: ReportAnswer) {
        pendingReply = 0
        if (answer.isLeading) leaderAnswer = answer
        leader = answer.leader?.let { hostOf(it) }
        val grant = answer.allowances.singleOrNull() ?: return
        issued = maxOf(issued, grant.issued)
    }
}
