/**
 * A group of one control replica in virtual time that receives evidence on requests. It keeps its log over a restart.
 */
package org.ibismoor.coordination

import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationStart
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.NotifyRequestQuarantine
import org.ibismoor.coordination.api.ReplaceRecords
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.RequestBelief
import org.ibismoor.coordination.api.RequestEvidence
import org.ibismoor.coordination.api.RequestQuarantineUpdate
import org.ibismoor.coordination.api.SyncRecords
import org.ibismoor.coordination.api.bootstrapRecords
import org.ibismoor.coordination.api.bootstrapReplica
import org.ibismoor.coordination.api.createCoordination
import org.ibismoor.coordination.api.restoreCoordination
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime

private const val HOST = "10.0.0.1"

/** Time within which a restarted replica leads again. */
internal const val ELECTION_MILLIS = 3_000L

private const val STEP_MILLIS = 20L

internal class RequestLeader(private val settings: CoordinationSettings = CoordinationSettings()) {
    private val codec = TextCodec()
    private val machine = createCoordination(codec, settings)
    private var records: List<ConsensusRecord> = bootstrapRecords(listOf(HOST))
    private var now = 0L
    private var tables = restore()
    private var nextReply = 1L
    private val answers = mutableMapOf<Long, RequestQuarantineUpdate?>()
    val beliefs = mutableListOf<RequestBelief>()

    init {
        advance(ELECTION_MILLIS)
    }

    /** The answer to a report of [router]; the first one of a router waits until its session is in the log. */
    fun report(router: String, evidence: RequestEvidence? = null): RequestQuarantineUpdate? {
        val reply = nextReply++
        val report = SimulatedRouter(router, isIdle = true).report().copy(requests = evidence)
        run(listOf(ReportReceived(reply, report)))
        check(reply in answers) { "the leader did not answer the report of $router" }
        return answers[reply]
    }

    fun advance(millis: Long) {
        val end = now + millis
        while (now < end) {
            now += STEP_MILLIS
            val due = machine.nextDue(tables)
            if (due != null && due.millis <= now) run(emptyList())
        }
    }

    fun restart() {
        tables = restore()
        advance(ELECTION_MILLIS)
    }

    private fun run(messages: List<CoordinationMessage>) {
        val step = machine.run(tables, Tick(Timestamp(now), WallTime(now), messages))
        tables = step.tables
        step.effects.forEach(::perform)
    }

    private fun perform(effect: CoordinationEffect) {
        when (effect) {
            is SyncRecords -> records = records + effect.records
            is ReplaceRecords -> records = effect.records
            is AnswerReport -> answers[effect.reply] = effect.answer.requests
            is NotifyRequestQuarantine -> beliefs += effect.belief
            else -> Unit
        }
    }

    private fun restore(): CoordinationTables =
        restoreCoordination(
            CoordinationStart(bootstrapReplica(HOST), listOf(HOST), now + 1, Timestamp(now)),
            records,
            codec,
            settings,
        )
}
