/**
 * A control replica for tests with simulated time, which knows its upstreams from the moment at which it leads.
 */
package org.ibismoor.forwarding

import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationCommand
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.CoordinationState
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.PublicationReceived
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.SyncRecords
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.coordination.api.UpstreamListReceived
import org.ibismoor.coordination.api.bootstrapRecords
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.coordination.api.createCoordination
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime

internal const val CONTROL_HOST = "10.0.0.1"

private const val LIST_INTERVAL_MILLIS = 100L

/**
 * Publishes [configuration] when it leads and its log has none; [clock] returns the simulated time in milliseconds.
 * With [readList], a leader reads the list of upstreams again and again, in place of the fixed [upstreams].
 */
internal class SimulatedControl(
    private val seed: Int,
    private val upstreams: List<UpstreamEntry>,
    private val configuration: PublishedConfiguration? = null,
    private val readList: (() -> List<UpstreamEntry>)? = null,
    private val clock: () -> Long,
) {
    private val codec = ListCodec()
    private val machine = createCoordination(codec)
    private var records = bootstrapRecords(listOf(CONTROL_HOST))
    private var tables = restore()
    private val replies = mutableMapOf<Long, (ReportAnswer?) -> Unit>()
    private var nextReply = 1L
    private var nextReadAt = 0L

    /** Starts again with what its log holds; reports that wait get no answer. */
    fun restart() {
        replies.clear()
        tables = restore()
    }

    /** Answers the reports that wait as lost. */
    fun losePendingReports() {
        replies.values.forEach { it(null) }
        replies.clear()
    }

    fun report(report: RouterReport, reply: (ReportAnswer?) -> Unit) {
        replies[nextReply] = reply
        run(listOf(ReportReceived(nextReply++, report)))
    }

    fun runIfDue() {
        val due = machine.nextDue(tables)
        if (due != null && due.millis <= clock()) run(emptyList())
        if (tables.leadingSince != null && clock() >= nextReadAt) readListAgain()
    }

    private fun readListAgain() {
        val list = readList?.invoke() ?: return
        nextReadAt = clock() + LIST_INTERVAL_MILLIS
        run(listOf(UpstreamListReceived(list)))
    }

    private fun run(messages: List<CoordinationMessage>) {
        val now = clock()
        val step = machine.run(tables, Tick(Timestamp(now), WallTime(now), messages))
        tables = step.tables
        step.effects.forEach(::perform)
        if (tables.leadingSince != null && tables.upstreams == null) startLeading()
    }

    private fun perform(effect: CoordinationEffect) {
        when (effect) {
            is SyncRecords -> records = records + effect.records
            is AnswerReport -> replies.remove(effect.reply)?.invoke(effect.answer)
            else -> Unit
        }
    }

    private fun startLeading() {
        if (readList == null) tables = tables.copy(upstreams = UpstreamList(1, upstreams))
        if (configuration != null && tables.state.configuration == null) {
            run(listOf(PublicationReceived(nextReply++, configuration)))
        }
    }

    private fun restore(): CoordinationTables {
        val now = clock()
        val replica = bootstrapReplica(CONTROL_HOST)
        val start = CoordinationStart(replica, listOf(CONTROL_HOST), seed.toLong() + now, Timestamp(now))
        return restoreCoordination(start, records, codec)
    }
}

/** Keeps commands and states in lists and encodes them as their indices. */
private class ListCodec : CoordinationCodec {
    private val commands = mutableListOf<CoordinationCommand>()
    private val states = mutableListOf<CoordinationState>()

    override fun writeCommand(command: CoordinationCommand): String = "${commands.size}".also { commands += command }

    override fun readCommand(text: String): CoordinationCommand = commands[text.toInt()]

    override fun writeState(state: CoordinationState): String = "${states.size}".also { states += state }

    override fun readState(text: String): CoordinationState = states[text.toInt()]
}
