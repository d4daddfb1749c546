/**
 * A router that spends and returns random parts of its allowance and can be restarted with a new session. One with a
 * disk records a limit before it spends, and may lose the disk or stop to record.
 */
package org.ibismoor.coordination

import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.EndedSession
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.coordination.api.SpendingRecording
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId

internal val ORGANISATION = OrganisationId("council")

private const val MEAN_REPORT_MILLIS = 100
private const val MAXIMUM_TOKENS_PER_STEP = 40L

internal class SimulatedRouter(
    private val name: String,
    private val isIdle: Boolean = false,
    private val hasDisk: Boolean = false,
) {
    private var session = 0
    private var issued = 0L
    private var returned = 0L
    private var spent = 0L
    private var leader: String? = null
    private var limit = 0L
    private var recording = initialRecording()
    private var isStopReported = false
    private var isLimitLifted = false
    private var endedSessions = emptyList<EndedSession>()

    /** Tokens spent by all sessions. */
    var totalSpent = 0L
        private set
    var pendingReply = 0L

    /** The last answer of a replica that took itself for the leader. */
    var leaderAnswer: ReportAnswer? = null

    fun restart() {
        endedSessions = endedSessions + EndedSession(sessionId(), mapOf(ORGANISATION to limit))
        session++
        limit = 0
        recording = initialRecording()
        isStopReported = false
        isLimitLifted = false
        issued = 0
        returned = 0
        spent = 0
        pendingReply = 0
    }

    /** Loses the record of all sessions, and the process with it. */
    fun wipe() {
        restart()
        endedSessions = emptyList()
    }

    fun stopRecording() {
        if (hasDisk) recording = SpendingRecording.STOPPED
    }

    private fun initialRecording() = if (hasDisk) SpendingRecording.RECORDED else SpendingRecording.NONE

    private fun sessionId() = SessionId("$name-$session")

    fun report(): RouterReport =
        RouterReport(
            router = RouterId(name),
            session = sessionId(),
            entry = RouterEntry("$name:80", FailureDomainId("one")),
            state = RouterState.READY,
            configurationVersion = 0,
            upstreamRevision = 0,
            requestsPerSecond = 0.0,
            usage = if (isIdle) emptyList() else listOf(usage()),
            recording = recording,
            endedSessions = if (hasDisk) endedSessions else emptyList(),
        ).also { isStopReported = recording == SpendingRecording.STOPPED }

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
        if (hasDisk && !isLimitLifted) {
            if (recording == SpendingRecording.STOPPED && spent + tokens > limit) return
            limit = maxOf(limit, spent + tokens)
        }
        spent += tokens
        totalSpent += tokens
    }

    private fun returnTokens(tokens: Long) {
        if (issued - returned - spent >= tokens) returned += tokens
    }

    fun receiveAnswer(answer: ReportAnswer) {
        pendingReply = 0
        if (answer.isLeading) {
            leaderAnswer = answer
            isLimitLifted = isLimitLifted || isStopReported
        }
        leader = answer.leader?.let { hostOf(it) }
        val grant = answer.allowances.singleOrNull() ?: return
        issued = maxOf(issued, grant.issued)
    }
}
