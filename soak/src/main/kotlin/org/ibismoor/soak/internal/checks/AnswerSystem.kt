/**
 * Checks that each caller gets the whole answer that an upstream made for its request, or one that does not look
 * whole. An answer is compared after a delay, since the upstream's own observation may come later.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.WorkKind
import org.ibismoor.soak.api.AnswerEnded
import org.ibismoor.soak.api.AttemptRow
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.MadeAnswer
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.RequestRow
import org.ibismoor.soak.api.SoakRequestId
import org.ibismoor.soak.internal.isSuccess

internal class AnswerSystem(private val settings: CheckSettings) : CheckSystem {
    override fun run(tables: CheckTables, tick: Tick<Observation>): CheckStep {
        val queued = tick.messages.filterIsInstance<AnswerEnded>().fold(tables, ::queue)
        val due = queued.due.answers.take(tick.now)
        val taken = queued.copy(due = queued.due.copy(answers = due.rest))
        return foldSteps(taken, due.entries) { current, entry -> check(current, entry.id) }
    }

    private fun queue(tables: CheckTables, answer: AnswerEnded): CheckTables {
        if (tables.requestEndedBy(answer) == null) return tables
        val dueAt = answer.at + settings.observationDelayMillis
        return tables.copy(due = tables.due.copy(answers = tables.due.answers.plus(dueAt, answer.request)))
    }

    private fun check(tables: CheckTables, id: SoakRequestId): CheckStep {
        val request = tables.requests[id]
        val answer = request?.answer ?: return CheckStep(tables)
        val attempts = tables.attemptsOf(request)
        val isExercised = attempts.size > 1 || attempts.any { it.isBrokenOff() }
        val counted = tables.withExercised(Guarantee.OWN_WHOLE_ANSWER, isExercised)
        return checked(counted, Guarantee.OWN_WHOLE_ANSWER, answer.at, id, findFault(tables, request, answer))
    }

    private fun findFault(tables: CheckTables, request: RequestRow, answer: AnswerEnded): String? {
        val status = answer.status
        val owner = answer.answer?.let { tables.answers[it] }
        return when {
            status == null -> null
            answer.answer == null -> "a success without an answer of an upstream".takeIf { isSuccess(status) }
            owner != null && owner != request.sent.request -> "got the answer of request ${owner.text}"
            else -> findContentFault(tables, request, answer, status)
        }
    }

    private fun findContentFault(
        tables: CheckTables,
        request: RequestRow,
        answer: AnswerEnded,
        status: Int,
    ): String? {
        val attempts = tables.attemptsOf(request)
        val made = attempts.mapNotNull { it.finished?.made }
        val source = made.find { it.answer == answer.answer }
        return when {
            source == null && !isFromBrokenAttempt(request, attempts, answer) -> "no upstream has made this answer"
            source != null && source.status != status -> "got status $status, the upstream gave ${source.status}"
            request.sent.kind.isStream && isSuccess(status) -> findStreamFault(attempts, answer, source)
            else -> findBodyFault(answer, source)
        }
    }

    /** Only a stream that another upstream goes on with can be whole although its first upstream broke off. */
    private fun isFromBrokenAttempt(request: RequestRow, attempts: List<AttemptRow>, answer: AnswerEnded): Boolean =
        attempts.any { it.isBrokenOff() } &&
            (!answer.isComplete || request.sent.kind == WorkKind.RESUMABLE_STREAM)

    private fun AttemptRow.isBrokenOff(): Boolean = began != null && finished?.made == null

    private fun findStreamFault(attempts: List<AttemptRow>, answer: AnswerEnded, source: MadeAnswer?): String? {
        val events = answer.events
        val last = attempts.mapNotNull { it.finished?.made?.events?.lastOrNull() }.maxOrNull()
        return when {
            events.zipWithNext().any { (event, next) -> next != event + 1 } -> "events out of order: $events"
            source != null && events.isNotEmpty() && events.first() != source.events.firstOrNull() ->
                "begins with event ${events.first()} instead of ${source.events.firstOrNull()}"
            answer.isComplete && events.lastOrNull() != last ->
                "ends as complete after event ${events.lastOrNull()}, the last one is $last"
            attempts.size == 1 -> findBodyFault(answer, source)
            else -> null
        }
    }

    private fun findBodyFault(answer: AnswerEnded, source: MadeAnswer?): String? =
        "looks complete with another body than the upstream's".takeIf {
            answer.isComplete && source != null && answer.bodyDigest != source.bodyDigest
        }
}
